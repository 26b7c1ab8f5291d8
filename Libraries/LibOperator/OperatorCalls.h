/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibOperator/OperatorLoop.h>

/// The calls of the operators' RPC service. gRPC's completion queue returns each call object as a tag; a call deletes
/// itself when it has finished.
namespace Operator {

grpc::Status to_status(Error const&);

/// Maximum number of log entries per read for a watcher.
static constexpr size_t max_entries_per_read = 200;

/// The base class of the completion queue's tags. Only used on the event loop's thread.
class OperatorLoop::Tag {
public:
    virtual ~Tag() = default;
    virtual void proceed(bool is_ok) = 0;
};

/// A call with a single reply.
template<typename Request, typename Reply>
class OperatorLoop::UnaryCall final : public Tag {
public:
    using Responder = grpc::ServerAsyncResponseWriter<Reply>;
    using RequestFunction = void (wire::OperatorService::AsyncService::*)(
        grpc::ServerContext*, Request*, Responder*, grpc::CompletionQueue*, grpc::ServerCompletionQueue*, void*);
    using Done = std::function<void(Result<Reply>)>;
    using Handler = std::function<void(Request const&, OperatorIdentity const&, Done)>;

    UnaryCall(OperatorLoop& owner, RequestFunction request_function, OperatorRole required_role, Handler handler)
        : owner(owner)
        , request_function(request_function)
        , required_role(required_role)
        , handler(std::move(handler))
        , responder(&this->context)
    {
        (owner.service.*request_function)(&this->context, &this->request, &this->responder,
            owner.completion_queue.get(), owner.completion_queue.get(), this);
    }

    void proceed(bool is_ok) override
    {
        if (!is_ok || this->has_responded) {
            delete this;
            return;
        }
        // Accept the next call of this kind before serving this one.
        if (!this->owner.is_stopping)
            new UnaryCall(this->owner, this->request_function, this->required_role, this->handler);
        auto identity = this->owner.authenticate(this->context);
        if (!identity)
            this->respond(identity.error());
        else if (identity.value().role < this->required_role)
            this->respond(Error {
                ErrorKind::Forbidden, "operator '" + identity.value().name + "' may only look; ask an editor", {} });
        else
            this->handler(this->request, identity.value(), [this](Result<Reply> reply) { this->respond(reply); });
    }

private:
    void respond(Result<Reply> const& reply)
    {
        this->has_responded = true;
        if (reply)
            this->responder.Finish(reply.value(), grpc::Status::OK, this);
        else
            this->responder.FinishWithError(to_status(reply.error()), this);
    }

    OperatorLoop& owner;
    RequestFunction request_function;
    OperatorRole required_role;
    Handler handler;
    grpc::ServerContext context;
    Request request;
    Responder responder;
    bool has_responded { false };
};

/// Streams log entries to one watcher until it disconnects or the server stops.
class OperatorLoop::WatchCall final : public Tag {
public:
    explicit WatchCall(OperatorLoop& owner)
        : owner(owner)
        , writer(&this->context)
    {
        owner.service.RequestWatch(&this->context, &this->request, &this->writer, owner.completion_queue.get(),
            owner.completion_queue.get(), this);
    }

    void proceed(bool is_ok) override
    {
        if (!is_ok || this->is_finished) {
            this->owner.watchers.remove(this);
            delete this;
            return;
        }
        if (!this->is_begun) {
            this->begin();
            return;
        }
        this->is_writing = false;
        this->feed();
    }

    /// Sends the next entry that the watcher lacks. Only one write is outstanding at a time.
    void feed()
    {
        if (this->is_writing || this->is_reading || this->is_finished)
            return;
        if (this->owner.is_stopping) {
            this->finish(grpc::Status::OK);
            return;
        }
        if (this->pending.empty()) {
            this->read_more();
            return;
        }
        this->is_writing = true;
        this->sent_revision = Revision(this->pending.front().revision());
        this->writer.Write(this->pending.front(), this);
        this->pending.erase(this->pending.begin());
    }

private:
    void begin()
    {
        this->is_begun = true;
        if (!this->owner.is_stopping)
            new WatchCall(this->owner);
        auto identity = this->owner.authenticate(this->context);
        if (!identity) {
            this->finish(to_status(identity.error()));
            return;
        }
        this->sent_revision = Revision(this->request.after_revision());
        this->owner.watchers.push_back(this);
        this->feed();
    }

    void read_more()
    {
        if (this->sent_revision >= this->owner.node.configuration().revision())
            return;
        this->is_reading = true;
        auto& platform = this->owner.node.platform();
        this->owner.node.background().submit(
            [&platform, after = this->sent_revision] {
                return Configuration::ConfigurationLog(platform).read_after(after, max_entries_per_read);
            },
            [this](Result<std::vector<wire::LogEntry>> entries) {
                this->is_reading = false;
                // If the platform is unavailable, the read is retried when the next revision comes into force.
                if (entries && !entries.value().empty()) {
                    this->pending = std::move(entries.value());
                    this->feed();
                }
            });
    }

    void finish(grpc::Status const& status)
    {
        this->is_finished = true;
        this->writer.Finish(status, this);
    }

    OperatorLoop& owner;
    grpc::ServerContext context;
    wire::WatchRequest request;
    grpc::ServerAsyncWriter<wire::LogEntry> writer;
    std::vector<wire::LogEntry> pending;
    Revision sent_revision;
    bool is_begun { false };
    bool is_writing { false };
    bool is_reading { false };
    bool is_finished { false };
};

}
