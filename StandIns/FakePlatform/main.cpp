/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <StandIns/Common/StandInMain.h>
#include <StandIns/FakePlatform/FakePlatform.h>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(listen, "127.0.0.1:9000", "comma-separated addresses to listen on, one for each failure domain");
DEFINE_int32(host_list_lag_milliseconds, 1000, "delay until a new host list is served");

int main(int argc, char** argv)
{
    auto stop_signal
        = StandIns::prepare(argc, argv, "Stand-in for the platform's table service, object store and host list.");
    std::vector<Address> addresses;
    std::istringstream list(FLAGS_listen);
    for (std::string address; std::getline(list, address, ',');)
        addresses.emplace_back(address);
    StandIns::FakePlatform platform(addresses, std::chrono::milliseconds(FLAGS_host_list_lag_milliseconds));
    stop_signal.wait();
}
