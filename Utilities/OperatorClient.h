/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <LibWire/Generated/Operator.grpc.pb.h>
#include <LibWire/Messages.h>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

/// A client of one OperatorServer, for the command-line tools. All calls block.
class OperatorClient {
public:
    /// `root_certificate` is the path of a PEM file. TLS is used if it is not empty.
    OperatorClient(std::string const& server, std::string key, std::string const& root_certificate);

    Result<wire::ApplyReply> apply(wire::Change const&, std::string const& change_id, u64 expected_revision);
    Result<wire::ConfigurationSnapshot> get();
    Result<wire::MembersReply> members();
    Result<wire::EventBatch> events(u64 maximum);
    Result<wire::ExplainReply> explain(std::string const& generation);
    /// Calls `on_entry` for each entry until the server ends the stream or `on_entry` returns false.
    Result<void> watch(u64 after_revision, std::function<bool(wire::LogEntry const&)> const& on_entry);

private:
    void prepare(grpc::ClientContext&, bool has_deadline = true) const;

    std::string key;
    std::unique_ptr<wire::OperatorService::Stub> stub;
};
