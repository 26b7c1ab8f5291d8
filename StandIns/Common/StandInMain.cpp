/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <StandIns/Common/StandInMain.h>
#include <gflags/gflags.h>

namespace StandIns {

Core::StopSignal prepare(int argc, char** argv, std::string const& usage)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Core::StopSignal();
}

}
