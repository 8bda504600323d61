# jaystair_test (NAME LIBRARIES...): the test program of one module, from
# tests/NAME.cc beside the module, registered with ctest under its own name.
function (jaystair_test name)
  if (NOT TESTS)
    return ()
  endif ()
  add_executable (${name} tests/${name}.cc)
  target_link_libraries (${name} PRIVATE ${ARGN} GTest::gtest_main)
  add_test (NAME ${name} COMMAND ${name})
  set_tests_properties (${name} PROPERTIES TIMEOUT 240)
endfunction ()
