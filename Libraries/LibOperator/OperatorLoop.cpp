/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/ResumeToken.h>
#include <LibOperator/OperatorCalls.h>
#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>

namespace Operator {

using Core::EventNumber;

static constexpr Duration collection_timeout = 1s;
static constexpr size_t max_change_id_bytes = 128;

static grpc::StatusCode status_code(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Unauthenticated:
        return grpc::StatusCode::UNAUTHENTICATED;
    case ErrorKind::Forbidden:
        return grpc::StatusCode::PERMISSION_DENIED;
    case ErrorKind::UnknownEntity:
        return grpc::StatusCode::NOT_FOUND;
    case ErrorKind::Conflict:
        return grpc::StatusCode::ABORTED;
    case ErrorKind::InvalidRequest:
        return grpc::StatusCode::INVALID_ARGUMENT;
    case ErrorKind::PlatformAnswerLost:
        return grpc::StatusCode::UNKNOWN;
    default:
        return grpc::StatusCode::UNAVAILABLE;
    }
}

grpc::Status to_status(Error const& error)
{
    return { status_code(error.kind), std::string(to_string(error.kind)) + ": " + error.message };
}

OperatorLoop::OperatorLoop(Node::Node& node, OperatorSettings const& settings)
    : node(node)
    , settings(settings)
{
}

Result<std::unique_ptr<OperatorLoop>> OperatorLoop::create(Node::Node& node, OperatorSettings const& settings)
{
    std::unique_ptr<OperatorLoop> loop(new OperatorLoop(node, settings));
    TRYV(loop->listen());
    node.on_message([raw = loop.get()](wire::Envelope const& envelope) { raw->receive(envelope); });
    node.on_revision([raw = loop.get()] { raw->feed_watchers(); });
    return loop;
}

static Result<std::string> read_file(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return Error { ErrorKind::InvalidSettings, path + ": cannot be read; name a readable PEM file", {} };
    return text.str();
}

static Result<std::shared_ptr<grpc::ServerCredentials>> make_credentials(OperatorSettings const& settings)
{
    if (settings.tls_certificate.empty())
        return grpc::InsecureServerCredentials();
    TRY(auto certificate, read_file(settings.tls_certificate));
    TRY(auto private_key, read_file(settings.tls_private_key));
    grpc::SslServerCredentialsOptions options;
    options.pem_key_cert_pairs.push_back({ private_key, certificate });
    return grpc::SslServerCredentials(options);
}

Result<void> OperatorLoop::listen()
{
    TRY(auto credentials, make_credentials(this->settings));
    grpc::ServerBuilder builder;
    builder.AddListeningPort(this->settings.listen.value(), credentials, &this->listening_port);
    builder.RegisterService(&this->service);
    this->completion_queue = builder.AddCompletionQueue();
    this->server = builder.BuildAndStart();
    if (!this->server || this->listening_port == 0)
        return Error { ErrorKind::InvalidSettings,
            "operator.listen: cannot listen on " + this->settings.listen.value() + "; name a free address", {} };
    this->accept_calls();
    this->reader = std::thread([this] { this->read_completion_queue(); });
    return success();
}

void OperatorLoop::read_completion_queue()
{
    void* tag = nullptr;
    bool is_ok = false;
    while (this->completion_queue->Next(&tag, &is_ok))
        this->node.loop().post([tag, is_ok] { static_cast<Tag*>(tag)->proceed(is_ok); });
}

OperatorLoop::~OperatorLoop()
{
    this->server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    this->completion_queue->Shutdown();
    this->reader.join();
}

void OperatorLoop::stop_accepting()
{
    this->is_stopping = true;
    this->feed_watchers();
}

void OperatorLoop::feed_watchers()
{
    for (auto* watcher : std::list(this->watchers))
        watcher->feed();
}

void OperatorLoop::accept_calls()
{
    using Service = wire::OperatorService::AsyncService;
    new UnaryCall<wire::ApplyRequest, wire::ApplyReply>(*this, &Service::RequestApply, OperatorRole::Editor,
        [this](auto const& request, auto const& identity, auto done) { this->apply(request, identity, done); });
    new UnaryCall<wire::GetRequest, wire::ConfigurationSnapshot>(
        *this, &Service::RequestGet, OperatorRole::Viewer, [this](auto const&, auto const&, auto done) {
            auto snapshot = this->node.configuration().snapshot();
            // Viewers of the configuration must not be able to sign resume tokens.
            for (auto& key : *snapshot.mutable_resume_keys())
                key.set_secret_hexadecimal("(hidden)");
            done(std::move(snapshot));
        });
    new UnaryCall<wire::MembersRequest, wire::MembersReply>(*this, &Service::RequestMembers, OperatorRole::Viewer,
        [this](auto const&, auto const&, auto done) { done(this->members()); });
    new UnaryCall<wire::EventsRequest, wire::EventBatch>(
        *this, &Service::RequestEvents, OperatorRole::Viewer, [this](auto const& request, auto const&, auto done) {
            this->collect_events(request.maximum(), "", [done](auto events) { done(std::move(events)); });
        });
    new UnaryCall<wire::ExplainRequest, wire::ExplainReply>(
        *this, &Service::RequestExplain, OperatorRole::Viewer, [this](auto const& request, auto const&, auto done) {
            constexpr u64 max_events = 200;
            this->collect_events(max_events, request.generation(), [done](auto events) {
                wire::ExplainReply reply;
                reply.mutable_events()->Swap(events.mutable_events());
                done(std::move(reply));
            });
        });
    new WatchCall(*this);
}

Result<OperatorIdentity> OperatorLoop::authenticate(grpc::ServerContext const& context) const
{
    auto const& metadata = context.client_metadata();
    auto header = metadata.find("authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (header != metadata.end() && header->second.starts_with(grpc::string_ref(scheme.data(), scheme.size()))) {
        std::string key(header->second.data() + scheme.size(), header->second.size() - scheme.size());
        auto found = this->settings.operators.find(Delivery::sha256_hexadecimal(key));
        if (found != this->settings.operators.end())
            return found->second;
    }
    return Error { ErrorKind::Unauthenticated, "send a known operator key as 'authorization: Bearer <key>'", {} };
}

void OperatorLoop::apply(wire::ApplyRequest const& request, OperatorIdentity const& identity, ApplyDone done)
{
    if (request.change_id().empty() || request.change_id().size() > max_change_id_bytes) {
        done(Error {
            ErrorKind::InvalidRequest, "change_id must be 1 to 128 bytes; choose one and keep it for repeats", {} });
        return;
    }
    std::optional<Revision> expected;
    if (request.expected_revision() > 0)
        expected = Revision(request.expected_revision());
    struct Applied {
        Result<Configuration::Accepted> outcome;
        std::vector<wire::LogEntry> entries;
    };
    auto& platform = this->node.platform();
    this->node.background().submit(
        [&platform, request, expected, name = identity.name, document = this->node.configuration()]() mutable {
            auto before = document.revision();
            Configuration::ConfigurationLog log(platform);
            auto outcome = log.append(document, request.change(), request.change_id(), name, expected);
            Applied applied { std::move(outcome), {} };
            if (applied.outcome) {
                auto entries = log.read_after(before);
                if (entries)
                    applied.entries = std::move(entries.value());
                for (auto const& entry : applied.entries) {
                    if (entry.revision() > document.revision().value())
                        document.apply(entry);
                }
                (void)log.write_snapshot_if_due(document);
            }
            return applied;
        },
        [this, done = std::move(done), change_id = request.change_id(), name = identity.name](Applied const& applied) {
            if (!applied.outcome) {
                this->node.events().record(
                    EventNumber::ChangeRefused, change_id, "by " + name + ": " + applied.outcome.error().message);
                done(applied.outcome.error());
                return;
            }
            auto const& accepted = applied.outcome.value();
            this->node.events().record(EventNumber::ChangeAccepted, change_id,
                "by " + name + " as revision " + std::to_string(accepted.revision.value()));
            this->node.broadcast_entries(applied.entries);
            wire::ApplyReply reply;
            reply.set_revision(accepted.revision.value());
            reply.set_repeated(accepted.repeated);
            done(std::move(reply));
        });
}

wire::MembersReply OperatorLoop::members() const
{
    wire::MembersReply reply;
    Membership::write_full(this->node.members().own(), *reply.add_members());
    for (auto const& member : this->node.members().others())
        Membership::write_full(member, *reply.add_members());
    return reply;
}

static wire::EventRecord to_record(Core::Event const& event)
{
    wire::EventRecord record;
    record.set_wall_milliseconds(event.stamp.wall_milliseconds);
    record.set_counter(event.stamp.counter);
    record.set_member(event.member.value());
    record.set_number(static_cast<u32>(event.number));
    record.set_text(event.text);
    record.set_subject(event.subject);
    record.set_organisation(event.organisation.value());
    return record;
}

void OperatorLoop::collect_events(u64 maximum, std::string const& subject, EventsDone done)
{
    auto correlation = this->next_correlation++;
    auto& collection = this->collections[correlation];
    collection.done = std::move(done);
    for (auto const& event : this->node.events().latest(maximum, subject))
        *collection.events.add_events() = to_record(event);
    auto members = this->node.members().others();
    collection.missing = members.size();
    for (auto const& member : members) {
        wire::Envelope envelope;
        envelope.set_correlation(correlation);
        envelope.mutable_events_fetch()->set_maximum(maximum);
        envelope.mutable_events_fetch()->set_subject(subject);
        this->node.send(member.address, std::move(envelope));
    }
    if (members.empty()) {
        this->finish_collection(correlation);
        return;
    }
    this->node.loop().after(collection_timeout, [this, correlation] { this->finish_collection(correlation); });
}

void OperatorLoop::finish_collection(u64 correlation)
{
    auto found = this->collections.find(correlation);
    if (found == this->collections.end())
        return;
    auto collection = std::move(found->second);
    this->collections.erase(found);
    auto* events = collection.events.mutable_events();
    std::sort(events->begin(), events->end(), [](auto const& left, auto const& right) {
        return std::tuple(left.wall_milliseconds(), left.counter(), left.member())
            < std::tuple(right.wall_milliseconds(), right.counter(), right.member());
    });
    collection.done(std::move(collection.events));
}

void OperatorLoop::receive(wire::Envelope const& envelope)
{
    if (!envelope.has_event_batch())
        return;
    auto found = this->collections.find(envelope.correlation());
    if (found == this->collections.end())
        return;
    found->second.events.MergeFrom(envelope.event_batch());
    if (--found->second.missing == 0)
        this->finish_collection(envelope.correlation());
}

}
