# Helpers with which each package declares its library, program and tests.

# burdockpulley_library(<name> SOURCES ... DEPENDS ...)
# Defines libburdockpulley_<name> and its alias burdockpulley::<name>.
function(burdockpulley_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(burdockpulley_${name} STATIC ${ARG_SOURCES})
  add_library(burdockpulley::${name} ALIAS burdockpulley_${name})
  set_target_properties(burdockpulley_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(burdockpulley_${name}
    PUBLIC "$<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src/include>"
           "$<INSTALL_INTERFACE:include>"
    PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
  target_link_libraries(burdockpulley_${name} PUBLIC ${ARG_DEPENDS})
  install(TARGETS burdockpulley_${name} EXPORT burdockpulley
          ARCHIVE DESTINATION lib)
endfunction()

# burdockpulley_program(<name> SOURCES ... DEPENDS ...)
function(burdockpulley_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
endfunction()

# burdockpulley_test(<name> SOURCES ... DEPENDS ...)
# Defines one Boost.Test program and registers it with ctest.
function(burdockpulley_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES}
    "${PROJECT_SOURCE_DIR}/src/cmake/test_main.cpp")
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
    BURDOCKPULLEY_BIN_DIR="${PROJECT_BINARY_DIR}/bin"
    BURDOCKPULLEY_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_include_directories(${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS}
    Boost::unit_test_framework rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
