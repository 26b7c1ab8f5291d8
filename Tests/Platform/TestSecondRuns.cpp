/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Platform/HostFixture.h>
#include <random>

using Test::HostFixture;
using OrderFault = StandIns::PlatformRunner::OrderFault;

namespace {

/// A generation whose engine leaves, and whose memory has been copied once to another engine. Its engine does not drop
/// it when its connection closes.
class LeavingEngine {
public:
    LeavingEngine()
        : engine(this->fixture.add_runner("engine-1", "models"))
    {
        this->fixture.drain_time = 60s;
        this->fixture.start_ready_host();
        this->engine.keep_running_after_disconnect(true);
        this->call = this->fixture.call(HostFixture::generation("g1"));
        this->until([&] { return this->engine.running_count() == 1; });
        this->engine.make_events();
        this->until([&] { return this->call->event_count() == 1; });
        this->target = &this->fixture.add_runner("engine-2", "models");
        this->until([&] { return this->fixture.log_has("subject=engine-2"); });
        this->target->on_received = [this](auto const& request) {
            ++this->resumed;
            this->ran_twice |= this->engine.is_running(request.attempt);
        };
        this->fixture.drain(this->engine);
        this->until([&] { return this->fixture.log_has("subject=engine-1 state=leaving"); });
        this->engine.make_events();
        this->until([&] { return this->fixture.log_has("event=E2109 generation_copied subject=g1"); });
    }

    /// Both engines make events until `done`.
    template<typename Done>
    void stream_until(Done done)
    {
        auto next_event_at = AK::BootClock::now();
        this->until([&] {
            if (AK::BootClock::now() >= next_event_at) {
                this->engine.make_events();
                this->target->make_events();
                next_event_at += 20ms;
            }
            return done();
        });
    }
    template<typename Done>
    void until(Done done)
    {
        this->fixture.until(done);
    }

    /// The engine reports that it terminates soon, which is when the host orders the last copy.
    void leave_soon() { this->engine.set_leaves_in(900); }

    void check_whole_stream()
    {
        this->target->finish_all();
        this->until([&] { return this->call->is_over(); });
        CHECK(this->call->end == Http::ExchangeEnd::Complete);
        u64 expected = 0;
        std::istringstream lines(this->call->body);
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("id: "))
                CHECK(std::stoull(line.substr(4)) == ++expected);
        }
        CHECK(expected > 1);
    }

    HostFixture fixture;
    StandIns::PlatformRunner& engine;
    StandIns::PlatformRunner* target { nullptr };
    std::shared_ptr<Test::Call> call;
    /// Requests at the target, and whether one came while the generation ran at its first engine.
    u32 resumed { 0 };
    bool ran_twice { false };
};

}

// Guards against a generation that resumes elsewhere while its first engine, which failed the order for the last copy
// and does not drop requests whose connection closes, still works on it.
SCENARIO("an order for the last copy of a run is not carried out")
{
    LeavingEngine leaving;
    auto const fault = GENERATE(OrderFault::Fail, OrderFault::FailAfterStop, OrderFault::Unavailable,
        OrderFault::Nonsense, OrderFault::Drop, OrderFault::DropAfterStop, OrderFault::Busy, OrderFault::HangAfterStop,
        OrderFault::FailAndCutStream);
    INFO("fault " << static_cast<int>(fault));
    leaving.engine.add_order_fault(fault);

    WHEN("the engine carries out the next one")
    {
        leaving.leave_soon();
        leaving.stream_until([&] { return leaving.resumed > 0; });
        THEN("the generation resumes once its run has stopped, and the caller gets each event once")
        {
            CHECK_FALSE(leaving.ran_twice);
            leaving.check_whole_stream();
        }
    }
}

SCENARIO("no order for the last copy of a run is carried out")
{
    LeavingEngine leaving;
    auto const fault
        = GENERATE(OrderFault::Fail, OrderFault::Unavailable, OrderFault::Nonsense, OrderFault::Drop, OrderFault::Busy);
    INFO("fault " << static_cast<int>(fault));
    for (int i = 0; i < 100; ++i)
        leaving.engine.add_order_fault(fault);
    leaving.leave_soon();
    leaving.stream_until([&] { return leaving.engine.last_copy_orders() >= 2; });

    WHEN("the engine goes on")
    {
        auto const events = leaving.call->event_count();
        leaving.stream_until([&] { return leaving.call->event_count() >= events + 5; });
        THEN("its events go to the caller as before, and nothing resumes elsewhere")
        {
            CHECK(leaving.resumed == 0);
            CHECK_FALSE(leaving.call->is_over());
        }
    }
    WHEN("the engine terminates")
    {
        leaving.engine.terminate();
        leaving.stream_until([&] { return leaving.resumed > 0; });
        THEN("the generation resumes from the first copy")
        {
            leaving.until([&] { return leaving.fixture.log_has("run_end=process_terminated"); });
            leaving.check_whole_stream();
        }
    }
    WHEN("the stream breaks off, and the engine goes on")
    {
        leaving.engine.cut_stream("g1");
        auto const orders = leaving.engine.last_copy_orders();
        leaving.until([&] { return leaving.engine.last_copy_orders() >= orders + 2; });
        THEN("the generation does not resume before the engine has terminated")
        {
            CHECK(leaving.resumed == 0);
            leaving.engine.terminate();
            leaving.stream_until([&] { return leaving.resumed > 0; });
            leaving.check_whole_stream();
        }
    }
}

SCENARIO("a stream breaks off between the first copy and the last, and its run goes on")
{
    LeavingEngine leaving;
    leaving.engine.cut_stream("g1");
    leaving.stream_until([&] { return leaving.resumed > 0; });
    THEN("the run is stopped before it resumes elsewhere")
    {
        CHECK_FALSE(leaving.ran_twice);
        CHECK(leaving.engine.last_copy_orders() == 1);
        leaving.until([&] { return leaving.fixture.log_has("run_end=stopped"); });
        leaving.check_whole_stream();
    }
}

// At no instant may two engines work on one request, whatever the orders for its last copy come to.
SCENARIO("orders for the last copy of a run fail in drawn sequences")
{
    constexpr std::array faults { OrderFault::Fail, OrderFault::FailAfterStop, OrderFault::Unavailable,
        OrderFault::Nonsense, OrderFault::Drop, OrderFault::DropAfterStop, OrderFault::Busy };
    for (unsigned seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        std::uniform_int_distribution<size_t> any_fault(0, faults.size() - 1);
        std::uniform_int_distribution<int> any_count(0, 4);
        std::bernoulli_distribution cuts(0.3);
        LeavingEngine leaving;
        for (int count = any_count(random); count > 0; --count)
            leaving.engine.add_order_fault(faults[any_fault(random)]);
        leaving.leave_soon();
        auto const cuts_after_orders = cuts(random) ? static_cast<u32>(any_count(random)) : 100U;
        leaving.stream_until([&] {
            if (leaving.engine.last_copy_orders() >= cuts_after_orders)
                leaving.engine.cut_stream("g1");
            return leaving.resumed > 0;
        });
        CHECK_FALSE(leaving.ran_twice);
        leaving.check_whole_stream();
    }
}
