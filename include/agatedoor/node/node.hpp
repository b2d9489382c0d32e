#pragma once

#include "agatedoor/base/result.hpp"
#include "agatedoor/proxy/edge_headers.hpp"
#include "agatedoor/release/release_source.hpp"
#include "agatedoor/state/settings.hpp"
#include "agatedoor/state/store.hpp"
#include "agatedoor/wire/http_service.hpp"

#include <string>

/// @brief The node process, of which one runs beside each backend server.
namespace agatedoor {

/// @brief Deployment-specific interfaces of a node: its store, the format of releases and the names of HTTP headers.
struct NodeInterfaces
{
    Store store;
    ReleaseSource releases;
    EdgeHeaders headers;
};

/// @brief Default interfaces: a store with the API of the etcd gateway, signed releases and agatedoor's own header names.
NodeInterfaces defaultNodeInterfaces(const Settings &settings);

/// @brief Runs a node until SIGTERM or SIGINT, then finishes requests in progress and returns.
/// SIGHUP checks @p settingsFile and logs the result; changes take effect at the next start.
/// @return an error when one of the addresses can't be listened on
Result<Done, ListenError> runNode(const Settings &settings, const std::string &settingsFile, NodeInterfaces edges);

} // namespace agatedoor
