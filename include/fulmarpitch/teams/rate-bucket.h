#pragma once

/// \file
/// The leaky bucket that holds a team's requests to its rate in one data
/// centre. Its members hold equal copies. A group of members that does not hear
/// the others uses only its part of the bucket, so that the parts of all groups
/// together never exceed the whole.

#include <cstddef>
#include <optional>

#include "fulmarpitch/core/types.h"
#include "fulmarpitch/teams/team.h"

namespace fulmar::teams {

/// The bound on the requests of a team that run within any window.
struct rate_bounds {
  instant window = std::chrono::seconds(5);
  /// Fraction by which rate and burst may be exceeded.
  double slack = 0.1;
  /// Requests by which they may be exceeded in addition.
  double excess = 0;
};

/// Computes the most requests of a team that may run within any window.
double max_in_window(const rate_limit& limit, const rate_bounds& bounds);

/// Size of a bucket, in requests.
struct bucket_size {
  double drain_per_second = 0;
  double capacity = 0;

  bool operator==(const bucket_size&) const = default;
};

/// Computes the bucket of a team for all daemons together: at least its rate
/// and burst. A part of what the bound allows beyond that is left to requests
/// that daemons admit before they hear of each other's.
bucket_size size_for(const rate_limit& limit, const rate_bounds& bounds);

/// Computes the bucket of one data centre. Each can hold one request, if all
/// together can hold so many.
/// \param all the bucket of the team.
/// \param weight the data centre's fraction of it; those of all data centres
///     add up to 1 at most.
/// \param data_centres the number of data centres.
bucket_size share_of(const bucket_size& all, double weight,
                     std::size_t data_centres);

/// A bucket as one daemon sees it. Levels are fractions of the capacity.
struct rate_bucket {
  bucket_size size;
  /// Fraction of the size that the members that hear each other may use.
  double part = 1;
  double level = 1;
  /// Level of the parts that split off, without what was admitted there since.
  double split_level = 1;
  /// When the levels were computed, on the steady clock.
  instant at{};
};

/// Lets the levels fall until now.
void drain(rate_bucket& it, instant now);

/// Computes by how much a request raises the level.
/// \return infinity if the bucket holds nothing.
double cost_of(const rate_bucket& it);

/// Decides whether a request fits into the bucket.
/// \param threshold in (0, 1]: how much of a request has to fit if the bucket
///     holds less than one. If it is drawn evenly, the sum over many such
///     buckets is right on average.
bool has_room(const rate_bucket& it, double threshold);

/// \return the time until a request fits into the bucket, if nothing else is
///     admitted; the maximum if it never does.
instant time_until_room(const rate_bucket& it, double threshold);

/// Adds a request that this daemon admitted.
void add_own(rate_bucket& it);

/// Adds requests that other members admitted, at any time in the past.
void add_heard(rate_bucket& it, double requests);

/// Lowers the level to what the members that hear each other can have reached:
/// the capacity, and a little more due to lags of their reports.
void limit_level(rate_bucket& it);

/// Splits parts off or joins them again. A part that splits off takes its
/// portion of the level along.
/// \param part the fraction of the size that may be used from now on.
/// \param joined_level level of the parts that join, without what was admitted
///     there since the split; the split's level if not given.
void change_part(rate_bucket& it, double part,
                 std::optional<double> joined_level = std::nullopt);

/// Changes the size as the limit changes. A lower limit binds at once.
void change_limit(rate_bucket& it, const bucket_size& size);

/// Changes the size as the data centre's share changes. A share that grows adds
/// room only as it drains, since other data centres may have used it already.
void change_share(rate_bucket& it, const bucket_size& size);

}  // namespace fulmar::teams
