/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/HostSettings.h>
#include <algorithm>
#include <charconv>
#include <cmath>
#include <xxhash.h>

namespace Serving {

static constexpr double bytes_per_megabyte = 1e6;
/// More than any machine has; more would not fit into the numbers of bytes.
static constexpr double max_memory_megabytes = 1e9;

static double number_or(Core::SettingsReader& reader, std::string const& key, double fallback)
{
    auto text = reader.text_or(key, "");
    if (text.empty())
        return fallback;
    double number = 0;
    auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    bool const is_whole_text = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
    if (is_whole_text && std::isfinite(number) && number >= 0)
        return number;
    reader.add_error(key, "expected a number that is not negative, such as 0.2; it is '" + text + '\'');
    return fallback;
}

u32 strength_of(HostSettings const& settings)
{
    constexpr double cores_of_class_one = 0.2;
    constexpr double link_of_class_one = 20;
    auto const ratio
        = std::min(settings.cores / cores_of_class_one, settings.link_megabits_per_second / link_of_class_one);
    return ratio < 1 ? 0 : 1 + static_cast<u32>(std::log2(ratio));
}

double link_bytes_per_second(HostSettings const& settings)
{
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_megabit = 1e6;
    return settings.link_megabits_per_second * bits_per_megabit / bits_per_byte;
}

HostSettings read_host_settings(Core::SettingsReader& reader)
{
    HostSettings settings;
    settings.host = MemberId(reader.text("host.name"));
    settings.failure_domain = FailureDomainId(reader.text("host.failure_domain"));
    settings.callers_listen = Address(reader.address("host.callers_listen"));
    settings.readiness_listen = Address(reader.address("host.readiness_listen"));
    if (auto metrics = reader.text_or("host.metrics_listen", ""); !metrics.empty())
        settings.metrics_listen = Address(reader.address("host.metrics_listen"));
    settings.peer_listen = Address(reader.address("host.peer_listen"));
    auto const announced = reader.text_or("host.peer_address", "");
    settings.peer_address = announced.empty() ? settings.peer_listen : Address(reader.address("host.peer_address"));
    settings.platform = Address(reader.address("host.platform"));
    settings.cores = number_or(reader, "host.cores", settings.cores) * number_or(reader, "host.cpu_share", 1);
    settings.link_megabits_per_second = number_or(reader, "host.link_megabits", settings.link_megabits_per_second);
    auto const megabytes = std::min(number_or(reader, "host.memory_megabytes", 0), max_memory_megabytes);
    settings.memory_bytes = static_cast<u64>(megabytes * bytes_per_megabyte);
    settings.stop_grace = reader.duration_or("host.stop_grace", settings.stop_grace);
    settings.drain_time = reader.duration_or("backends.drain_time", settings.drain_time);
    settings.list_recovery_time = reader.duration_or("backends.list_recovery_time", settings.list_recovery_time);
    settings.max_back_off = reader.duration_or("backends.longest_back_off", settings.max_back_off);
    settings.follower.wait = reader.duration_or("platform.wait", settings.follower.wait);
    settings.follower.response_timeout
        = reader.duration_or("platform.answer_patience", settings.follower.response_timeout);
    settings.follower.delay_after_changes
        = reader.duration_or("platform.pause_after_changes", settings.follower.delay_after_changes);
    settings.follower.standby_period = reader.duration_or("platform.standby_period", settings.follower.standby_period);
    settings.follower.peer_update_timeout
        = reader.duration_or("platform.news_patience", settings.follower.peer_update_timeout);
    auto& budget = settings.retry_budget;
    budget.ratio = number_or(reader, "retries.ratio", budget.ratio);
    budget.allowance = number_or(reader, "retries.allowance", budget.allowance);
    budget.window = reader.duration_or("retries.window", budget.window);
    budget.hosts = static_cast<u32>(reader.whole_number_or("retries.hosts", budget.hosts, 1, 10'000));
    auto& exposure = settings.exposure;
    exposure.share = number_or(reader, "rollouts.exposure_share", exposure.share);
    exposure.slack = number_or(reader, "rollouts.exposure_slack", exposure.slack);
    for (auto const& [domain, region] : reader.text_map("regions"))
        settings.regions[FailureDomainId(domain)] = RegionId(region);
    auto const& name = settings.host.value();
    settings.random_seed = static_cast<u32>(XXH3_64bits(name.data(), name.size()));
    return settings;
}

}
