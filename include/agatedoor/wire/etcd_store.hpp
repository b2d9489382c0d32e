#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/state/store.hpp"

#include <vector>

/// @brief Store calls over the etcd v3 HTTP/JSON gateway.
namespace agatedoor {

/// @brief Store behind @p endpoints; a call goes to the first one that accepts a connection.
Store makeEtcdStore(const std::vector<Endpoint> &endpoints);

} // namespace agatedoor
