/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace AK {

using u8 = std::uint8_t;
using u16 = std::uint16_t;
using u32 = std::uint32_t;
using u64 = std::uint64_t;
using i64 = std::int64_t;

/// A value that does not convert to another type with the same representation.
/// `Tag` names the meaning; it is never defined or instantiated.
template<typename Tag, typename Representation>
class StrongType {
public:
    using ValueType = Representation;

    constexpr StrongType() = default;
    constexpr explicit StrongType(Representation value)
        : representation(std::move(value))
    {
    }

    [[nodiscard]] constexpr Representation const& value() const { return this->representation; }
    constexpr auto operator<=>(StrongType const&) const = default;

private:
    Representation representation {};
};

template<typename Tag, typename Representation>
std::ostream& operator<<(std::ostream& stream, StrongType<Tag, Representation> const& strong)
{
    return stream << strong.value();
}

using Duration = std::chrono::nanoseconds;

/// Monotonic time since the machine's start, including suspensions of the machine, so that estimates and deadlines age
/// during them. std::chrono::steady_clock stops while the machine is suspended.
class BootClock {
public:
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
    /// For tests: advances this process's clock by `span` at once, as a suspension of the machine does.
    static void simulate_suspension(Duration span) noexcept;
};

/// Monotonic time since an arbitrary start: the event loop's clock in daemons, virtual time in the benchmark.
using Instant = BootClock::time_point;

constexpr double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
constexpr i64 to_milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}
inline Duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}

namespace std {
template<typename Tag, typename Representation>
struct hash<AK::StrongType<Tag, Representation>> {
    size_t operator()(AK::StrongType<Tag, Representation> const& strong) const
    {
        return hash<Representation> {}(strong.value());
    }
};
}

using namespace std::chrono_literals;
using AK::Duration;
using AK::i64;
using AK::Instant;
using AK::u16;
using AK::u32;
using AK::u64;
using AK::u8;
