/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibGateway/CallerFrontend.h>
#include <LibHistory/History.h>
#include <LibOperator/OperatorLoop.h>
#include <LibRouter/RouterLoop.h>
#include <StandIns/FakeEngine/FakeEngine.h>
#include <StandIns/FakePlatform/FakePlatform.h>
#include <StandIns/FakeService/FakeService.h>
#include <Utilities/CallerClient.h>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/// Notifies the test threads of changes: an event, a member, a revision, a token. The count only grows.
class ChangeSignal {
public:
    static ChangeSignal& instance();
    void notify();
    [[nodiscard]] u64 count();
    /// Waits until count() differs from `seen`. Returns whether it did before `deadline`.
    bool wait_for_change(u64 seen, Instant deadline);

private:
    std::mutex mutex;
    std::condition_variable changed;
    u64 changes { 0 };
};

/// A daemon's node, with its event loop on a thread of its own.
template<typename Settings, typename Component>
struct TestDaemon {
    TestDaemon(Settings daemon_settings, std::function<std::unique_ptr<Component>(Node::Node&, Settings const&)> make)
        : settings(std::move(daemon_settings))
        , node(std::make_unique<Node::Node>(this->settings.node))
        , component(make(*this->node, this->settings))
    {
        auto notify = [] { ChangeSignal::instance().notify(); };
        this->node->events().on_record(notify);
        this->node->on_members(notify);
        this->node->on_revision(notify);
        this->node->on_backend_servers(notify);
        this->node->start();
        this->thread = std::thread([this] { this->node->loop().run(); });
    }

    ~TestDaemon()
    {
        this->node->loop().stop();
        this->thread.join();
    }

    /// Runs `function` on the event loop and returns its result.
    template<typename Function>
    auto on_loop(Function function)
    {
        std::promise<decltype(function())> promise;
        this->node->loop().post([&] { promise.set_value(function()); });
        return promise.get_future().get();
    }

    Settings settings;
    std::unique_ptr<Node::Node> node;
    std::unique_ptr<Component> component;
    std::thread thread;
};

using TestRouter = TestDaemon<Router::RouterSettings, Router::RouterLoop>;
using TestGatewayNode = TestDaemon<Gateway::GatewaySettings, Gateway::GatewayLoop>;
using TestOperator = TestDaemon<Operator::OperatorSettings, Operator::OperatorLoop>;

struct TestGateway {
    explicit TestGateway(Gateway::GatewaySettings const& settings);

    TestGatewayNode daemon;
    Gateway::CallerFrontend frontend;
};

/// A failure domain in one process, on real sockets, with the stand-ins. Tests inject faults by calls and wait for
/// conditions, not for times.
class TestFleet {
public:
    struct Size {
        size_t gateways { 2 };
        size_t routers { 2 };
        size_t engines { 2 };
        size_t services { 2 };
        i64 engine_capacity { 24'000 };
    };

    TestFleet();
    explicit TestFleet(Size);
    ~TestFleet();

    /// Uses TLS with the test-only certificate in Tests/Data if `is_secure` is set.
    void start_gateway(size_t number, bool is_secure = false);
    void start_router(size_t number);
    /// Starts a router of another failure domain that knows the first router of this one.
    std::unique_ptr<TestRouter> start_remote_router() const;
    void start_operator(bool is_secure = false);
    [[nodiscard]] Address operator_address() const;
    /// Terminates a router without notice, as when its host crashes.
    void kill_router(size_t number) { this->routers[number].reset(); }
    /// Index of the router that owns the pool in the first gateway's view; the number of routers if there is none.
    size_t owner();

    void apply(std::string const& change_json);
    void publish_backend_servers();
    CallerClient caller(std::string const& key = "toll-key") const;
    /// Runs `count` generations concurrently and returns what their callers saw.
    std::vector<GenerationResult> generate(size_t count, int tokens, std::function<void()> const& meanwhile = {});
    /// The history so far of all engines and services, and of these callers.
    History::Record record(std::vector<GenerationResult> const&) const;

    std::unique_ptr<StandIns::FakePlatform> platform;
    std::vector<std::unique_ptr<StandIns::FakeEngine>> engines;
    std::vector<std::unique_ptr<StandIns::FakeService>> services;
    std::vector<std::unique_ptr<TestRouter>> routers;
    std::vector<std::unique_ptr<TestGateway>> gateways;
    std::unique_ptr<TestOperator> operator_server;

private:
    Node::NodeSettings node_settings(std::string const& member, int port, wire::Role) const;

    Size size;
};

/// Waits until `condition` holds, checking it again on each change of ChangeSignal. Fails the test if it does not hold
/// within a minute.
void wait_until(std::string const& what, std::function<bool()> const& condition);
std::string describe(std::vector<History::Violation> const&);
