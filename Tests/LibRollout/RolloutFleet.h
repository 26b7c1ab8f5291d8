/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibRollout/Owner.h>
#include <LibRollout/Tallies.h>
#include <random>

namespace Test {

/// The platform's table of records in virtual time. Counts how often a roll-out reached a final state.
class RecordStore {
public:
    enum class Mode : u8 {
        Serving,
        /// Refuses every call.
        Away,
        /// Carries out every write and does not respond to it.
        LosesResponses,
        /// Does not respond to writes, and carries them out later if their condition still holds then.
        WritesLate,
    };

    void set_mode(Mode changed) { this->mode = changed; }

    void commit_if(Platform::ConditionalWrite const& write, Duration, std::function<void(Result<u64>)> const& on_done)
    {
        if (this->mode == Mode::Away)
            return on_done(Platform::platform_unavailable("away"));
        if (this->mode == Mode::WritesLate) {
            this->late_writes.push_back(write);
            return on_done(Platform::platform_unavailable("no response"));
        }
        bool const is_done = this->apply(write);
        if (this->mode == Mode::LosesResponses)
            return on_done(Platform::platform_unavailable("no response"));
        if (!is_done)
            return on_done(Error { ErrorKind::Conflict, "another version", {} });
        on_done(this->version);
    }
    void list(
        std::string const&, std::string const&, Duration, std::function<void(Result<Platform::RowPage>)> const& on_page)
    {
        if (this->mode == Mode::Away)
            return on_page(Platform::platform_unavailable("away"));
        Platform::RowPage page;
        if (this->version > 0)
            page.rows.push_back({ "models", this->value, this->version });
        on_page(std::move(page));
    }
    /// Carries out the late writes whose condition still holds.
    void apply_late_writes()
    {
        for (auto const& write : std::exchange(this->late_writes, {}))
            this->apply(write);
    }

    [[nodiscard]] std::string const& record() const { return this->value; }
    [[nodiscard]] u64 record_version() const { return this->version; }
    [[nodiscard]] std::vector<std::string> const& statuses() const { return this->status_history; }

private:
    bool apply(Platform::ConditionalWrite const& write)
    {
        if (write.condition.version != this->version)
            return false;
        ++this->version;
        for (auto const& row : write.rows) {
            if (row.table == write.condition.table)
                this->value = row.value;
            else
                this->status_history.push_back(row.value);
        }
        return true;
    }

    Mode mode { Mode::Serving };
    std::string value;
    u64 version { 0 };
    std::vector<std::string> status_history;
    std::vector<Platform::ConditionalWrite> late_writes;
};

/// Many hosts that roll out one version of a service, in virtual time. Requests arrive at random hosts, records and
/// tallies arrive late, and the owner is the first host that lives.
class RolloutFleet {
public:
    struct Shape {
        u32 hosts { 66 };
        double requests_per_second { 60 };
        Duration time_allowed { 12s };
        u32 seed { 1 };
    };
    /// Returns the probability that an answer of the target is bad.
    using Badness = std::function<double(RolloutFleet const&, bool is_first_route)>;

    explicit RolloutFleet(Shape shape)
        : shape(shape)
        , random(shape.seed)
    {
        for (u32 i = 0; i < shape.hosts; ++i)
            this->hosts.push_back(std::make_unique<Host>(*this));
    }

    Badness fails { [](RolloutFleet const&, bool) { return 0.0; } };
    Badness is_slow { [](RolloutFleet const&, bool) { return 0.0; } };
    /// Probability that an answer of either version fails.
    double common_failures { 0.01 };
    /// Called in every step.
    std::function<void(RolloutFleet&)> on_step { [](RolloutFleet&) {} };

    void give_order() { this->ordered_at = this->now; }

    void run(Duration span)
    {
        auto const end = this->now + span;
        for (; this->now < end; this->now += step) {
            this->on_step(*this);
            this->deliver();
            this->serve();
            this->consider();
        }
    }

    /// Kills the host that owns the roll-out; another process takes its place a second later and knows nothing.
    void kill_owner()
    {
        auto& owner = *this->hosts[this->owner_number()];
        owner.starts_at = this->now + 1s;
        owner.rollouts = make_rollouts();
        owner.owner = this->make_owner(owner);
        owner.tallies = {};
    }
    /// Lets the first hosts all believe that they own the roll-out.
    void set_owner_count(u32 count) { this->owner_count = count; }

    [[nodiscard]] Duration since_order() const { return this->now - this->ordered_at.value(); }
    [[nodiscard]] Rollout::Stage stage() const
    {
        return decode(this->store.record()).value_or(Rollout::Record {}).stage;
    }
    /// Requests that the target got until the time allowed was over, and all requests until then.
    [[nodiscard]] u64 target_requests() const { return this->target_count; }
    [[nodiscard]] u64 all_requests() const { return this->all_count; }
    /// Requests that the target got later than this after its 50th bad answer.
    [[nodiscard]] u64 late_target_requests(Duration limit) const
    {
        if (!this->fiftieth_bad_at)
            return 0;
        return static_cast<u64>(
            std::ranges::count_if(this->target_times, [&](Instant at) { return at > *this->fiftieth_bad_at + limit; }));
    }
    [[nodiscard]] double allowed_target_requests() const
    {
        return this->limits.share * static_cast<double>(this->all_count) + this->limits.slack;
    }
    /// Time from the order until the roll-out was completed or rolled back; empty if it is not.
    [[nodiscard]] std::optional<Duration> finished_after() const { return this->final_after; }
    [[nodiscard]] double share_of_target() const { return target_share(this->stage(), this->limits); }

    RecordStore store;

private:
    static constexpr Duration step = 50ms;
    static constexpr Duration tally_period = 250ms;
    static constexpr Duration max_delay = 400ms;
    static constexpr Duration usual_time = 20ms;

    struct Arrival {
        Instant at {};
        Rollout::Record record;
        u64 version { 0 };
    };
    struct Host {
        explicit Host(RolloutFleet& fleet)
            : rollouts(make_rollouts())
            , owner(fleet.make_owner(*this))
        {
        }
        Instant starts_at {};
        Rollout::Rollouts rollouts;
        std::unique_ptr<Rollout::Owner<RecordStore>> owner;
        Rollout::Tallies tallies;
        std::vector<Arrival> inbox;
        u64 seen_version { 0 };
    };

    static Rollout::Rollouts make_rollouts()
    {
        return { {}, [](ServiceName const&, std::optional<SoftwareVersion> const&) {},
            [](Rollout::KnownRollout const&) {} };
    }

    static std::string encode(Rollout::Record const& record)
    {
        return std::to_string(static_cast<int>(record.stage)) + ' ' + std::to_string(record.elapsed.count());
    }
    static std::optional<Rollout::Record> decode(std::string const& text)
    {
        if (text.empty())
            return {};
        Rollout::Record record { order_version, target, static_cast<Rollout::Stage>(text.front() - '0'), {}, {} };
        record.elapsed = Duration(std::stoll(text.substr(2)));
        return record;
    }

    std::unique_ptr<Rollout::Owner<RecordStore>> make_owner(Host& host)
    {
        Rollout::Owner<RecordStore>::Encoding encoding;
        encoding.table = "records";
        encoding.encode = encode;
        encoding.decode = decode;
        encoding.status_row = [](Rollout::Order const&, Rollout::Record const& record) {
            return Platform::TableRow { "status", "models", std::string(to_string(record.stage)) };
        };
        return std::make_unique<Rollout::Owner<RecordStore>>(
            this->store, encoding, host.rollouts, [this] { return this->now; });
    }

    [[nodiscard]] bool lives(Host const& host) const { return host.starts_at <= this->now; }
    [[nodiscard]] size_t owner_number() const
    {
        size_t number = 0;
        while (number + 1 < this->hosts.size() && !this->lives(*this->hosts[number]))
            ++number;
        return number;
    }
    Duration draw_delay() { return Duration(std::uniform_int_distribution<i64>(0, max_delay.count())(this->random)); }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(this->random); }

    void deliver()
    {
        if (!this->ordered_at)
            return;
        auto const record = decode(this->store.record());
        for (auto& host : this->hosts) {
            if (!this->lives(*host))
                continue;
            if (!host->rollouts.find(service))
                host->rollouts.apply_order({ service, target, this->shape.time_allowed, order_version }, this->now);
            if (record && this->store.record_version() > host->seen_version) {
                host->seen_version = this->store.record_version();
                host->inbox.push_back({ this->now + this->draw_delay(), *record, host->seen_version });
            }
            for (auto const& arrival : host->inbox) {
                if (arrival.at <= this->now)
                    host->rollouts.apply_record(service, arrival.record, arrival.version, this->now);
            }
            std::erase_if(host->inbox, [this](Arrival const& arrival) { return arrival.at <= this->now; });
        }
        if (record && is_final(record->stage) && !this->final_after)
            this->final_after = this->since_order();
    }

    void serve()
    {
        auto const expected = this->shape.requests_per_second * AK::to_seconds(step);
        auto const count = std::poisson_distribution<u32>(expected)(this->random);
        for (u32 i = 0; i < count; ++i) {
            auto& host = *this->hosts[std::uniform_int_distribution<size_t>(0, this->hosts.size() - 1)(this->random)];
            if (this->lives(host))
                this->handle_request(host);
        }
    }

    void handle_request(Host& host)
    {
        auto* rollout = host.rollouts.find(service);
        if (!rollout)
            return;
        auto const side
            = host.rollouts.side_for(service, std::to_string(++this->attempts)).side.value_or(Rollout::Side::Former);
        bool const is_first_route = this->chance(0.3);
        bool const is_target = side == Rollout::Side::Target;
        bool const is_bad = is_target && this->chance(this->fails(*this, is_first_route));
        bool const is_late = is_target && this->chance(this->is_slow(*this, is_first_route));
        this->count_exposure(is_target, is_bad || is_late);
        auto& answers = rollout->own_answers[RouteName(is_first_route ? "first" : "second")].of(side);
        ++answers.count;
        if (is_bad || this->chance(this->common_failures))
            ++answers.failures;
        std::lognormal_distribution<double> spread(0, 0.4);
        auto const factor = spread(this->random) * (is_late ? 6 : 1);
        answers.response_times.record(AK::from_seconds(AK::to_seconds(usual_time) * factor));
    }

    void count_exposure(bool is_target, bool is_bad)
    {
        if (is_target && is_bad && ++this->bad_count == 50)
            this->fiftieth_bad_at = this->now;
        if (is_target)
            this->target_times.push_back(this->now);
        if (this->since_order() > this->shape.time_allowed)
            return;
        ++this->all_count;
        this->target_count += is_target ? 1 : 0;
    }

    void consider()
    {
        if (!this->ordered_at || this->now < this->next_tally_at)
            return;
        this->next_tally_at = this->now + tally_period;
        auto const first = this->owner_number();
        for (size_t number = first; number < std::min<size_t>(first + this->owner_count, this->hosts.size()); ++number)
            this->consider_at(*this->hosts[number]);
    }

    void consider_at(Host& owner)
    {
        std::vector<std::string> in_reach;
        for (size_t i = 0; i < this->hosts.size(); ++i) {
            auto const& host = *this->hosts[i];
            auto const* rollout = host.rollouts.find(service);
            if (!this->lives(host) || !rollout)
                continue;
            auto const name = std::to_string(i);
            in_reach.push_back(name);
            Rollout::Tally tally { order_version, rollout->record ? rollout->record_version : 0, 0,
                rollout->own_answers };
            owner.tallies.apply(name, std::move(tally), this->now);
        }
        auto sum = owner.tallies.sum(order_version, in_reach, this->now);
        auto const* rollout = owner.rollouts.find(service);
        if (!rollout)
            return;
        Rollout::Situation situation;
        situation.answers = std::move(sum.answers);
        situation.is_applied = rollout->record && sum.applied_record >= rollout->record_version;
        situation.target_serves = true;
        owner.owner->consider(service, std::move(situation));
    }

    static constexpr u64 order_version = 5;
    inline static ServiceName const service { "models" };
    inline static SoftwareVersion const target { "v2" };

    Shape shape;
    std::mt19937 random;
    Rollout::ExposureLimits limits;
    Instant now { 100s };
    std::optional<Instant> ordered_at;
    std::vector<std::unique_ptr<Host>> hosts;
    u32 owner_count { 1 };
    u64 attempts { 0 };
    u64 all_count { 0 };
    u64 target_count { 0 };
    u64 bad_count { 0 };
    std::optional<Instant> fiftieth_bad_at;
    std::vector<Instant> target_times;
    Instant next_tally_at {};
    std::optional<Duration> final_after;
};

}
