# Compiler warnings and sanitizers, for every target of the project.

set(AGATEDOOR_SANITIZE "" CACHE STRING "Sanitizer set: empty, thread, or address (address brings undefined behaviour too)")

option(AGATEDOOR_TESTS "Builds the tests, their stand-ins and the examples" ON)
option(AGATEDOOR_WARNINGS_AS_ERRORS "Lets a warning fail the build" ON)

# g++ 12 takes Asio's paired coroutine frame allocation for a mismatch once it is inlined.
add_compile_options(-Wall -Wextra -Wpedantic -Wno-mismatched-new-delete)
if(AGATEDOOR_WARNINGS_AS_ERRORS)
    add_compile_options(-Werror)
endif()

if(AGATEDOOR_SANITIZE STREQUAL "thread")
    # Fences inside the standard library and Asio are not modelled by the sanitizer; g++ only warns.
    add_compile_options(-fsanitize=thread -fno-omit-frame-pointer -Wno-tsan)
    add_link_options(-fsanitize=thread)
elseif(AGATEDOOR_SANITIZE STREQUAL "address")
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()
