/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/ChangeFollower.h>
#include <LibPlatform/ConditionalWrite.h>
#include <LibRollout/Rollout.h>
#include <LibServing/Configuration.h>
#include <LibServing/Dialect.h>

namespace Serving {

/// The platform that a host runs on: the tables with the configuration and the list of backend servers, the encoding of
/// their rows, and the protocol of callers and backend servers.
template<typename T>
concept HostPlatform = Dialect<typename T::Dialect> && Platform::ChangeSource<typename T::Store> && Platform::RowWriter<
    typename T::Store> && Platform::ConditionalWriter<typename T::Store> && requires(Platform::Row const& row)
{
    {
        T::configuration_table
        } -> std::convertible_to<std::string_view>;
    {
        T::backend_table
        } -> std::convertible_to<std::string_view>;
    {
        T::is_configuration(row)
        } -> std::same_as<bool>;
    {
        T::decode_configuration(row)
        } -> std::same_as<Result<Configuration>>;
    {
        T::evacuated_domain(row.key)
        } -> std::same_as<std::optional<FailureDomainId>>;
    {
        T::check_evacuation(row)
        } -> std::same_as<Result<void>>;
    {
        T::rolled_out_service(row.key)
        } -> std::same_as<std::optional<ServiceName>>;
    {
        T::decode_rollout(row)
        } -> std::same_as<Result<Rollout::Order>>;
    {
        T::rollout_status_row(Rollout::Order {}, Rollout::Record {})
        } -> std::same_as<Platform::TableRow>;
    {
        T::decode_backend_server(row)
        } -> std::same_as<Result<BackendServer>>;
};

}
