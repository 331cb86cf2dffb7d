if(NOT DEFINED ENV{BG_TEST_SEED})
  set(ENV{BG_TEST_SEED} 20261204)
endif()


# Declares the library of one package and its include folders.
#   bg_package(NAME detection SOURCES a.cpp b.cpp DEPENDS base LIBRARIES OpenSSL::Crypto)
# Sources are relative to src/. LIBRARIES are private, so that their headers stay inside the package.
function(bg_package)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  list(TRANSFORM ARG_SOURCES PREPEND src/)
  add_library(bg_${ARG_NAME} STATIC ${ARG_SOURCES})
  target_include_directories(
    bg_${ARG_NAME}
    PUBLIC include
    PRIVATE src)
  list(TRANSFORM ARG_DEPENDS PREPEND bg_)
  target_link_libraries(bg_${ARG_NAME} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_LIBRARIES})
endfunction()

# Declares a doctest program whose test cases become single ctest entries.
#   bg_test(NAME detection_test SOURCES detection_test.cpp DEPENDS detection LIBRARIES rapidcheck)
# Sources are relative to tests/. Tests may include internals from src/. Property tests run with a
# fixed seed, so that each run gives the same verdict; BG_TEST_SEED at configuration overrides it.
function(bg_test)
  if(NOT BG_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  list(TRANSFORM ARG_SOURCES PREPEND tests/)
  add_executable(${ARG_NAME} ${ARG_SOURCES} $<TARGET_OBJECTS:doctest_main>)
  target_include_directories(${ARG_NAME} PRIVATE src)
  list(TRANSFORM ARG_DEPENDS PREPEND bg_)
  target_link_libraries(${ARG_NAME} PRIVATE ${ARG_DEPENDS} ${ARG_LIBRARIES} doctest::doctest)
  doctest_discover_tests(${ARG_NAME} TEST_PREFIX "${ARG_NAME}: " PROPERTIES TIMEOUT 120 ENVIRONMENT
                         "RC_PARAMS=seed=$ENV{BG_TEST_SEED}")
endfunction()
