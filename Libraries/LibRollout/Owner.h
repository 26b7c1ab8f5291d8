/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/ChangeFollower.h>
#include <LibPlatform/ConditionalWrite.h>
#include <LibRollout/Controller.h>
#include <LibRollout/Rollouts.h>

namespace Rollout {

/// Advances the roll-outs while this host owns them. Several hosts may believe to be the owner at once: each write is
/// conditional on the version of the record that the decision was based on, so only one of them takes effect. A write
/// whose result is unknown is read back before the next one.
template<Platform::ConditionalWriter Store>
class Owner {
public:
    /// How the owner's records are stored.
    struct Encoding {
        std::string table;
        std::function<std::string(Record const&)> encode;
        std::function<std::optional<Record>(std::string const&)> decode;
        /// Returns the row that shows the operator the record, to be written together with it.
        std::function<Platform::TableRow(Order const&, Record const&)> status_row;
    };

    Owner(Store& store, Encoding encoding, Rollouts& rollouts, std::function<Instant()> clock)
        : store(store)
        , encoding(std::move(encoding))
        , rollouts(rollouts)
        , clock(std::move(clock))
    {
    }

    /// Decides about one roll-out, and writes the decision. To be called several times a second on the host that owns
    /// the roll-outs. The situation's order, record and ages are set here.
    void consider(ServiceName const& service, Situation situation)
    {
        auto const now = this->clock();
        auto const* rollout = this->rollouts.find(service);
        if (!rollout || rollout->is_final() || this->is_calling || now < this->next_call_at)
            return;
        if (this->in_doubt)
            return this->read_back();
        situation.order = rollout->order;
        situation.record = rollout->record;
        situation.age = rollout->age(now);
        situation.stage_age = now - rollout->recorded_at;
        auto& progress = this->progress[service];
        if (progress.order_version != rollout->order.row_version)
            progress = { rollout->order.row_version, Controller(this->rollouts.exposure_limits()) };
        if (auto const next = progress.controller.next(situation, now))
            this->write(*rollout, *next);
    }

    /// Forgets the evidence of earlier ownership. To be called while another host owns the roll-outs.
    void release() { this->progress.clear(); }

private:
    static constexpr Duration response_timeout = 2s;
    static constexpr Duration retry_delay = 500ms;

    struct Progress {
        u64 order_version { 0 };
        Controller controller { ExposureLimits {} };
    };

    void write(KnownRollout const& rollout, Record const& record)
    {
        auto const& service = rollout.order.service;
        Platform::ConditionalWrite write;
        write.condition = { this->encoding.table, service.value(), rollout.record_version };
        write.rows.push_back({ this->encoding.table, service.value(), this->encoding.encode(record) });
        // Only these records change what the operator sees.
        if (!rollout.record || is_final(record.stage))
            write.rows.push_back(this->encoding.status_row(rollout.order, record));
        this->is_calling = true;
        this->store.commit_if(write, response_timeout, [this, service, record](Result<u64> version) {
            this->is_calling = false;
            if (version)
                return this->rollouts.apply_record(service, record, version.value(), this->clock());
            this->in_doubt = service;
            // After a conflict, the row holds another owner's record, which is read at once.
            if (version.error().kind != ErrorKind::Conflict)
                this->next_call_at = this->clock() + retry_delay;
        });
    }

    void read_back()
    {
        this->is_calling = true;
        auto const service = *this->in_doubt;
        this->store.list(
            this->encoding.table, service.value(), response_timeout, [this, service](Result<Platform::RowPage> page) {
                this->is_calling = false;
                if (!page) {
                    this->next_call_at = this->clock() + retry_delay;
                    return;
                }
                this->in_doubt.reset();
                for (auto const& row : page.value().rows) {
                    auto const record = this->encoding.decode(row.value);
                    if (row.key == service.value() && record)
                        this->rollouts.apply_record(service, *record, row.version, this->clock());
                }
            });
    }

    Store& store;
    Encoding encoding;
    Rollouts& rollouts;
    std::function<Instant()> clock;
    std::unordered_map<ServiceName, Progress> progress;
    bool is_calling { false };
    /// The service whose last write had an unknown result or met another record.
    std::optional<ServiceName> in_doubt;
    Instant next_call_at {};
};

}
