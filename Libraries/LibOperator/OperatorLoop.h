/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibNode/Node.h>
#include <LibOperator/OperatorSettings.h>
#include <LibWire/Generated/Operator.grpc.pb.h>
#include <LibWire/Messages.h>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <list>
#include <map>
#include <memory>
#include <thread>

namespace Operator {

/// Serves the operators' RPC. A separate thread reads gRPC's completion queue and only posts its tags to the event
/// loop; all processing happens on the loop.
class OperatorLoop {
public:
    /// Starts serving. Fails if the address cannot be bound or the TLS files cannot be read.
    static Result<std::unique_ptr<OperatorLoop>> create(Node::Node&, OperatorSettings const&);
    ~OperatorLoop();

    /// The bound port; differs from the configured one if that is 0.
    [[nodiscard]] int port() const { return this->listening_port; }
    /// Ends Watch streams and accepts no new calls; calls in progress are completed.
    void stop_accepting();

private:
    template<typename Request, typename Reply>
    class UnaryCall;
    class WatchCall;
    class Tag;

    OperatorLoop(Node::Node&, OperatorSettings const&);

    Result<void> listen();
    void read_completion_queue();
    void accept_calls();
    void receive(wire::Envelope const&);
    void feed_watchers();

    [[nodiscard]] Result<OperatorIdentity> authenticate(grpc::ServerContext const&) const;
    using ApplyDone = std::function<void(Result<wire::ApplyReply>)>;
    void apply(wire::ApplyRequest const&, OperatorIdentity const&, ApplyDone);
    using EventsDone = std::function<void(wire::EventBatch)>;
    /// Requests the events of every member. Calls `done` when all have replied, or after a timeout.
    void collect_events(u64 maximum, std::string const& subject, EventsDone);
    void finish_collection(u64 correlation);
    [[nodiscard]] wire::MembersReply members() const;

    struct Collection {
        size_t missing { 0 };
        wire::EventBatch events;
        EventsDone done;
    };

    Node::Node& node;
    OperatorSettings const& settings;
    wire::OperatorService::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> completion_queue;
    std::unique_ptr<grpc::Server> server;
    std::thread reader;
    std::map<u64, Collection> collections;
    u64 next_correlation { 1 };
    std::list<WatchCall*> watchers;
    int listening_port { 0 };
    bool is_stopping { false };
};

}
