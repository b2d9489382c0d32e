#include "agatedoor/wire/http_message.hpp"

#include <boost/beast/core/string.hpp>

namespace agatedoor {

HttpReply jsonReply(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view fieldOf(const std::vector<HttpField> &fields, std::string_view name)
{
    for (const auto &field : fields) {
        if (boost::beast::iequals(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

} // namespace agatedoor
