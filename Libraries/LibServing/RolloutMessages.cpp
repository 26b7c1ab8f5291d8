/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RolloutMessages.h>
#include <algorithm>

namespace Serving {

using Buckets = google::protobuf::RepeatedField<u64>;

/// Leaves out the empty buckets at the end.
static void encode_buckets(Buckets& encoded, Rollout::DurationCounts const& counts)
{
    auto const& buckets = counts.buckets();
    auto const is_used = [](u64 count) { return count > 0; };
    auto const end = std::find_if(buckets.rbegin(), buckets.rend(), is_used).base();
    encoded.Add(buckets.begin(), end);
}

static Rollout::DurationCounts decode_buckets(Buckets const& encoded)
{
    Rollout::DurationCounts counts;
    auto const size = std::min(static_cast<size_t>(encoded.size()), Rollout::DurationCounts::bucket_count);
    std::copy_n(encoded.begin(), size, counts.buckets().begin());
    return counts;
}

static void encode_answers(wire::VersionAnswers& encoded, Rollout::Answers const& answers)
{
    encoded.set_count(answers.count);
    encoded.set_failures(answers.failures);
    encode_buckets(*encoded.mutable_response_times(), answers.response_times);
    encode_buckets(*encoded.mutable_event_gaps(), answers.event_gaps);
}

static Rollout::Answers decode_answers(wire::VersionAnswers const& encoded)
{
    return { encoded.count(), std::min(encoded.failures(), encoded.count()), decode_buckets(encoded.response_times()),
        decode_buckets(encoded.event_gaps()) };
}

wire::RolloutTally encode_tally(ServiceName const& service, Rollout::Tally const& tally)
{
    wire::RolloutTally encoded;
    encoded.set_service(service.value());
    encoded.set_order_version(tally.order_version);
    encoded.set_applied_record(tally.applied_record);
    encoded.set_former_in_progress(tally.former_in_progress);
    for (auto const& [route, answers] : tally.answers) {
        auto& of_route = *encoded.add_routes();
        of_route.set_route(route.value());
        encode_answers(*of_route.mutable_former(), answers.former);
        encode_answers(*of_route.mutable_target(), answers.target);
    }
    return encoded;
}

Rollout::Tally decode_tally(wire::RolloutTally const& encoded)
{
    Rollout::Tally tally { encoded.order_version(), encoded.applied_record(), encoded.former_in_progress(), {} };
    for (auto const& of_route : encoded.routes())
        tally.answers[RouteName(of_route.route())]
            = { decode_answers(of_route.former()), decode_answers(of_route.target()) };
    return tally;
}

std::string encode_rollout_record(Rollout::Record const& record)
{
    wire::RolloutRecord encoded;
    encoded.set_order_version(record.order_version);
    encoded.set_target(record.target.value());
    encoded.set_stage(static_cast<wire::RolloutStage>(static_cast<int>(record.stage) + 1));
    encoded.set_elapsed_milliseconds(static_cast<u64>(AK::to_milliseconds(record.elapsed)));
    encoded.set_reason(record.reason);
    return encoded.SerializeAsString();
}

std::optional<Rollout::Record> decode_rollout_record(std::string const& text)
{
    wire::RolloutRecord encoded;
    bool const is_valid = encoded.ParseFromString(text) && encoded.stage() >= wire::ROLLOUT_TRIAL
        && encoded.stage() <= wire::ROLLOUT_ROLLED_BACK;
    if (!is_valid)
        return {};
    return Rollout::Record { encoded.order_version(), SoftwareVersion(encoded.target()),
        static_cast<Rollout::Stage>(encoded.stage() - 1), std::chrono::milliseconds(encoded.elapsed_milliseconds()),
        encoded.reason() };
}

}
