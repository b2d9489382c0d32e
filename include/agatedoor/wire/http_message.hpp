#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @brief Plain HTTP messages for the control interfaces; the request path has its own types.
namespace agatedoor {

/// @brief One header field.
struct HttpField
{
    std::string name;
    std::string value;
};

/// @brief A whole request.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<HttpField> fields;
    std::string body;
};

/// @brief A whole answer.
struct HttpReply
{
    int status = 200;
    std::vector<HttpField> fields;
    std::string body;
};

/// @brief JSON answer.
HttpReply jsonReply(int status, std::string body);

/// @brief Value of the field @p name, compared without case; empty when absent.
std::string_view fieldOf(const std::vector<HttpField> &fields, std::string_view name);

} // namespace agatedoor
