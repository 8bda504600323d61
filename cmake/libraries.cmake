# The libraries jaystair stands on, each as an imported target.
find_package (PkgConfig REQUIRED)
if (TESTS)
  find_package (GTest REQUIRED)
endif ()
find_package (Threads REQUIRED)
pkg_check_modules (CURL REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules (MHD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules (JSONC REQUIRED IMPORTED_TARGET json-c)
pkg_check_modules (MSGPACK REQUIRED IMPORTED_TARGET msgpack)
pkg_check_modules (CRYPTO REQUIRED IMPORTED_TARGET libcrypto)

find_library (EV_LIBRARY ev REQUIRED)
add_library (ev INTERFACE)
target_link_libraries (ev INTERFACE ${EV_LIBRARY})
# libev's watcher macros cast between watcher types by design.
target_compile_options (ev INTERFACE -Wno-cast-align)

find_library (ARGTABLE_LIBRARY argtable2 REQUIRED)
add_library (argtable INTERFACE)
target_link_libraries (argtable INTERFACE ${ARGTABLE_LIBRARY} m)
