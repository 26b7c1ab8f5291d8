/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Metrics.h>
#include <sstream>

namespace Core {

static constexpr double min_seconds = 1e-4;
static constexpr double max_seconds = 1e3;
static constexpr unsigned bucket_count = 140;

LatencyHistogram::LatencyHistogram()
    : histogram(boost::histogram::make_histogram(Axis(bucket_count, min_seconds, max_seconds)))
{
}

void LatencyHistogram::record(Duration duration)
{
    auto seconds = AK::to_seconds(duration);
    this->histogram(std::max(seconds, min_seconds));
    this->total_seconds += seconds;
    ++this->total_count;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    std::vector<Bucket> result;
    u64 cumulative = 0;
    for (auto&& cell : boost::histogram::indexed(this->histogram)) {
        cumulative += static_cast<u64>(*cell);
        result.push_back({ cell.bin().upper(), cumulative });
    }
    return result;
}

double LatencyHistogram::quantile_seconds(double quantile) const
{
    if (this->total_count == 0)
        return 0;
    auto wanted = quantile * static_cast<double>(this->total_count);
    for (auto const& bucket : this->buckets()) {
        if (static_cast<double>(bucket.cumulative_count) >= wanted)
            return bucket.upper_seconds;
    }
    return max_seconds;
}

void Metrics::add(std::string const& counter, u64 amount)
{
    std::lock_guard lock(this->mutex);
    this->counters[counter] += amount;
}

void Metrics::set(std::string const& gauge, double value)
{
    std::lock_guard lock(this->mutex);
    this->gauges[gauge] = value;
}

void Metrics::observe(std::string const& histogram, Duration duration)
{
    std::lock_guard lock(this->mutex);
    this->histograms[histogram].record(duration);
}

u64 Metrics::counter(std::string const& name) const
{
    std::lock_guard lock(this->mutex);
    auto found = this->counters.find(name);
    return found == this->counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::lock_guard lock(this->mutex);
    std::ostringstream out;
    for (auto const& [name, value] : this->counters)
        out << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    for (auto const& [name, value] : this->gauges)
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    for (auto const& [name, histogram] : this->histograms) {
        out << "# TYPE " << name << " histogram\n";
        u64 previous = 0;
        for (auto const& bucket : histogram.buckets()) {
            if (bucket.cumulative_count == previous)
                continue;
            previous = bucket.cumulative_count;
            out << name << "_bucket{le=\"" << bucket.upper_seconds << "\"} " << previous << '\n';
        }
        out << name << "_bucket{le=\"+Inf\"} " << histogram.count() << '\n';
        out << name << "_sum " << histogram.sum_seconds() << '\n';
        out << name << "_count " << histogram.count() << '\n';
    }
    return out.str();
}

}
