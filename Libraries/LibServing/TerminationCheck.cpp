/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/TerminationCheck.h>
#include <algorithm>
#include <iterator>

namespace Serving {

/// Several servers may fail together, so more than one other server is tried.
static constexpr size_t max_controls = 3;

/// Servers that are expected to accept connections, drawn at random.
static std::vector<BackendPointer> draw_controls(ServingContext& context, Backend const& suspect)
{
    std::vector<BackendPointer> candidates;
    for (auto const& [id, backend] : context.backends.all()) {
        if (backend->takes_work() && backend->endpoint != suspect.endpoint)
            candidates.push_back(backend);
    }
    std::vector<BackendPointer> controls;
    std::ranges::sample(candidates, std::back_inserter(controls), max_controls, context.random);
    return controls;
}

/// The queries of the other servers that belong to one check.
struct Controls {
    size_t unanswered { 0 };
    ProcessCheck::OnState on_state;
};

static void query_controls(ServingContext& context, Backend const& suspect, ProcessCheck::OnState on_state)
{
    auto const controls = draw_controls(context, suspect);
    if (controls.empty())
        return on_state(ProcessState::Terminated);
    auto check = std::make_shared<Controls>(Controls { controls.size(), std::move(on_state) });
    for (auto const& control : controls) {
        context.processes.query(*control, [check](ProcessState state) {
            --check->unanswered;
            bool const is_conclusive = state == ProcessState::Listening;
            if (!check->on_state || (!is_conclusive && check->unanswered > 0))
                return;
            auto const report = std::exchange(check->on_state, nullptr);
            report(is_conclusive ? ProcessState::Terminated : ProcessState::Unknown);
        });
    }
}

void check_termination(ServingContext& context, BackendPointer const& backend, ProcessCheck::OnState on_state)
{
    context.processes.query(*backend, [&context, backend, on_state = std::move(on_state)](ProcessState state) mutable {
        if (state != ProcessState::Terminated)
            return on_state(state);
        query_controls(context, *backend, std::move(on_state));
    });
}

}
