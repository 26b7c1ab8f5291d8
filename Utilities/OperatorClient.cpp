/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "OperatorClient.h"
#include <fstream>
#include <sstream>

static constexpr Duration call_timeout = 10s;

static std::shared_ptr<grpc::ChannelCredentials> credentials(std::string const& root_certificate)
{
    if (root_certificate.empty())
        return grpc::InsecureChannelCredentials();
    std::ifstream file(root_certificate);
    std::ostringstream text;
    text << file.rdbuf();
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = text.str();
    return grpc::SslCredentials(options);
}

OperatorClient::OperatorClient(std::string const& server, std::string key, std::string const& root_certificate)
    : key(std::move(key))
    , stub(wire::OperatorService::NewStub(grpc::CreateChannel(server, credentials(root_certificate))))
{
}

void OperatorClient::prepare(grpc::ClientContext& context, bool has_deadline) const
{
    context.AddMetadata("authorization", "Bearer " + this->key);
    if (has_deadline)
        context.set_deadline(std::chrono::system_clock::now() + call_timeout);
}

static Result<void> check(grpc::Status const& status)
{
    if (status.ok())
        return success();
    auto kind = status.error_code() == grpc::StatusCode::ABORTED ? ErrorKind::Conflict
        : status.error_code() == grpc::StatusCode::UNAVAILABLE   ? ErrorKind::PeerUnavailable
                                                                 : ErrorKind::InvalidRequest;
    return Error { kind, status.error_message(), {} };
}

Result<wire::ApplyReply> OperatorClient::apply(
    wire::Change const& change, std::string const& change_id, u64 expected_revision)
{
    wire::ApplyRequest request;
    *request.mutable_change() = change;
    request.set_change_id(change_id);
    request.set_expected_revision(expected_revision);
    grpc::ClientContext context;
    this->prepare(context);
    wire::ApplyReply reply;
    TRYV(check(this->stub->Apply(&context, request, &reply)));
    return reply;
}

Result<wire::ConfigurationSnapshot> OperatorClient::get()
{
    grpc::ClientContext context;
    this->prepare(context);
    wire::ConfigurationSnapshot reply;
    TRYV(check(this->stub->Get(&context, {}, &reply)));
    return reply;
}

Result<wire::MembersReply> OperatorClient::members()
{
    grpc::ClientContext context;
    this->prepare(context);
    wire::MembersReply reply;
    TRYV(check(this->stub->Members(&context, {}, &reply)));
    return reply;
}

Result<wire::EventBatch> OperatorClient::events(u64 maximum)
{
    grpc::ClientContext context;
    this->prepare(context);
    wire::EventsRequest request;
    request.set_maximum(maximum);
    wire::EventBatch reply;
    TRYV(check(this->stub->Events(&context, request, &reply)));
    return reply;
}

Result<wire::ExplainReply> OperatorClient::explain(std::string const& generation)
{
    grpc::ClientContext context;
    this->prepare(context);
    wire::ExplainRequest request;
    request.set_generation(generation);
    wire::ExplainReply reply;
    TRYV(check(this->stub->Explain(&context, request, &reply)));
    return reply;
}

Result<void> OperatorClient::watch(u64 after_revision, std::function<bool(wire::LogEntry const&)> const& on_entry)
{
    grpc::ClientContext context;
    this->prepare(context, false);
    wire::WatchRequest request;
    request.set_after_revision(after_revision);
    auto reader = this->stub->Watch(&context, request);
    wire::LogEntry entry;
    while (reader->Read(&entry)) {
        if (on_entry(entry))
            continue;
        context.TryCancel();
        break;
    }
    auto status = reader->Finish();
    return status.error_code() == grpc::StatusCode::CANCELLED ? Result<void>(success()) : check(status);
}
