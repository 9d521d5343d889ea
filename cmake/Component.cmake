# bergamotpaddle_component(NAME SOURCES ... DEPENDS ...): adds the static library of
# a component. DEPENDS lists the components and libraries that it may include.
function(bergamotpaddle_component name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wno-missing-field-initializers)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# bergamotpaddle_program(NAME SOURCES ... DEPENDS ...): adds an executable whose
# SOURCES hold little more than main(); the code is in the components of DEPENDS.
function(bergamotpaddle_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wno-missing-field-initializers)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# bergamotpaddle_test(NAME SOURCES ... DEPENDS ...): adds a Catch2 test program and
# registers it with CTest.
function(bergamotpaddle_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} TestMain)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
