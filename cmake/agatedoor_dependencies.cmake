# Libraries from Debian packages; scripts/install names the packages.

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(OpenSSL REQUIRED)
if(AGATEDOOR_TESTS)
    find_package(GTest REQUIRED)
    find_package(rapidcheck CONFIG REQUIRED)
    include(GoogleTest)
endif()
find_package(PkgConfig REQUIRED)
find_package(nng CONFIG REQUIRED)
pkg_check_modules(log4cxx REQUIRED IMPORTED_TARGET liblog4cxx)
# CMake's own module also looks for the code generator, which the build doesn't need.
pkg_check_modules(protobuf REQUIRED IMPORTED_TARGET protobuf)
pkg_check_modules(urcu REQUIRED IMPORTED_TARGET liburcu-bp)
pkg_check_modules(zstd REQUIRED IMPORTED_TARGET libzstd)
