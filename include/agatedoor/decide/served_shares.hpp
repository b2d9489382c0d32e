#pragma once

#include "agatedoor/base/ids.hpp"

#include <map>

/// @brief How often each customer's requests got a slot, among those that found none free.
///
/// Answers the pattern of a long burst of higher classes, which leaves a customer of a lower one the grants by arrival only. A
/// customer that is served far less often than all has its next requests counted as of the highest class until it isn't any more.
/// A hot customer isn't served too little when it gets as many slots as others: it pays for its own load.
namespace agatedoor {

/// @brief Limits of the records.
struct ServedSharesOptions
{
    double leastShare = 0.375; ///< Of the rate at which all requests get a slot: a customer below it is served too little.
    double minAsked = 4; ///< Requests of a customer below which its rate says nothing.
    double askedPerCustomer = 16; ///< Mean number of requests by customer at which all counts are halved.
    double minWindow = 128; ///< Least number of requests at which all counts are halved.
};

/// @brief Requests that asked for a slot and those that got one; they count for less the older they are.
struct ServedShare
{
    double asked = 0;
    double granted = 0;
};

/// @brief Counts of all customers.
struct ServedShares
{
    std::map<CustomerName, ServedShare> customers;
    ServedShare all;
};

/// @brief Counts a request that asks for a slot.
void recordAsked(ServedShares &shares, const CustomerName &customer, const ServedSharesOptions &options = {});

/// @brief Counts a request that got one.
void recordGranted(ServedShares &shares, const CustomerName &customer);

/// @brief Whether @p customer is served far less often than all, and gets less than an equal part of the slots.
bool servedTooLittle(const ServedShares &shares, const CustomerName &customer, const ServedSharesOptions &options = {});

} // namespace agatedoor
