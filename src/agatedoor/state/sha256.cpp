#include "agatedoor/state/sha256.hpp"

#include <array>
#include <openssl/evp.h>

namespace agatedoor {

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), raw.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += digits[raw[i] >> 4U];
        hex += digits[raw[i] & 0xfU];
    }
    return hex;
}

} // namespace agatedoor
