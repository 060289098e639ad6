# Language level, warnings and the optional sanitizers, for every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
option(BURDOCKPULLEY_SANITIZE "Build with ASan and UBSan" OFF)
# GCC 12 reports -Wrestrict falsely for std::string.
add_compile_options(-Wall -Wextra -Werror -Wno-restrict
                    -Wno-missing-field-initializers)
if(BURDOCKPULLEY_SANITIZE)
  # GCC 12 reports uninitialized values falsely under the sanitizers.
  add_compile_options(-Wno-maybe-uninitialized -Wno-uninitialized
                      -fsanitize=address,undefined -fno-sanitize-recover=all
                      -fno-omit-frame-pointer -O1)
  add_link_options(-fsanitize=address,undefined)
endif()
