#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Regenerates Libraries/LibWire/Generated from the schema files. The output is committed; the build never runs this
# script.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/LibWire"
mkdir -p Generated
protoc -I . --cpp_out=Generated Configuration.proto Peer.proto Operator.proto
protoc -I . --grpc_out=Generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" Operator.proto
