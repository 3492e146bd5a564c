#pragma once

/// \file
/// Plays the daemons of several data centres in virtual time: clients ask,
/// daemons decide with their own ledgers and exchange reports that may be late
/// or lost. Counts what ran and what one bucket for all would have admitted.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fulmarpitch/core/invariant.h"
#include "fulmarpitch/core/text.h"
#include "fulmarpitch/teams/rate-ledger.h"

namespace fulmar::teams::play {

using namespace std::chrono_literals;

inline double seconds(instant it) {
  return std::chrono::duration<double>(it).count();
}

inline instant span(double seconds) {
  return std::chrono::duration_cast<instant>(
      std::chrono::duration<double>(seconds));
}

/// The load and the daemons.
struct play_options {
  std::uint64_t seed = 1;
  instant length = 40s;
  std::vector<std::size_t> daemons = {11, 10, 10, 10, 8, 9};
  std::size_t teams = 71;
  double skew = 1.2;
  std::size_t clients = 307;
  double requests_per_second = 350;
  /// Rates of teams compared with their mean load.
  double rate_factor = 1.6;
  /// Refused clients come back once.
  bool retries = true;
  double loss = 0.001;
  rate_bounds bounds = {.window = 5s, .slack = 0.1, .excess = 20};
};

/// Counts of one team.
struct team_counts {
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  /// What one bucket with the team's rate and burst admits.
  std::uint64_t allowed = 0;
  /// Most admitted in a window, less what may be.
  double excess = -1e9;
};

/// Which way a daemon is cut off.
struct cut {
  /// Daemons of a data centre with the same number hear each other.
  int group = 0;
  bool sends = true;
  bool hears = true;
  bool reaches_store = true;
  bool keeps_clients = true;

  bool operator==(const cut&) const = default;
};

class rate_play {
 public:
  explicit rate_play(const play_options& options)
      : options_(options), random_(options.seed) {
    add_teams();
    add_clients();
    for (auto n = std::size_t{0}; n < options_.daemons.size(); ++n) {
      for (auto at = std::size_t{0}; at < options_.daemons[n]; ++at)
        add_daemon(n);
    }
    for (auto n = std::size_t{0}; n < daemons_.size(); ++n)
      at(span(uniform(0, 0.3)), [this, n] { start(n); });
    at(client_start, [this] {
      for (auto n = std::size_t{0}; n < clients_.size(); ++n)
        next_arrival(n);
    });
  }

  // Set-up of disruptions.

  /// Runs a function at a time after the clients' start.
  void when(instant after, std::function<void()> what) {
    at(client_start + after, std::move(what));
  }

  /// Runs a function a while from now.
  void after(instant delay, std::function<void()> what) {
    at(now_ + delay, std::move(what));
  }

  /// Adds a line to the story of the play.
  void note(const std::string& text) {
    story_ += concat("\n", seconds(now_ - client_start), " s: ", text);
  }
  const std::string& story() const { return story_; }

  std::size_t daemon_count() const { return daemons_.size(); }
  std::size_t data_centre_of(std::size_t n) const {
    return daemons_[n]->data_centre;
  }

  void kill(std::size_t n) {
    auto& it = *daemons_[n];
    it.up = false;
    it.waiting.clear();
    ++it.life;
  }
  void restart(std::size_t n, instant down) {
    kill(n);
    at(now_ + down, [this, n] { start(n); });
  }
  /// \param suspends the steady clock stands, too.
  void pause(std::size_t n, instant time, bool suspends) {
    auto& it = *daemons_[n];
    if (!it.up || it.paused) return;
    it.paused = true;
    auto life = it.life;
    at(now_ + time, [this, n, life, time, suspends] {
      auto& it = *daemons_[n];
      if (it.life != life) return;
      it.paused = false;
      if (suspends) it.clock_lag += time;
      wake(it, time);
    });
  }
  void cut_off(std::size_t n, const cut& how, instant time) {
    daemons_[n]->link = how;
    at(now_ + time, [this, n] { daemons_[n]->link = {}; });
  }
  void leave(std::size_t n, instant down) {
    auto& it = *daemons_[n];
    if (!it.up) return;
    auto life = it.life;
    at(now_ + 3s, [this, n, life, down] {
      if (daemons_[n]->life == life) restart(n, down);
    });
  }
  void join(std::size_t data_centre) { start(add_daemon(data_centre)); }
  void set_loss(double loss, instant late) {
    loss_ = loss;
    late_ = late;
  }
  /// Multiplies the load of a team.
  void heat(std::size_t team, double factor, instant time) {
    note(concat("team ", team, " heats by ", factor));
    heat_[team] = factor;
    at(now_ + time, [this, team] { heat_[team] = 1; });
  }
  /// Changes the limit of a team; daemons that are cut off hear of it late.
  void change_limit(std::size_t team, double factor) {
    note(concat("limit of team ", team, " changes by ", factor));
    auto& row = teams_[team];
    limits_until_[team].push_back(
        {row.rate, now_ + 6s + options_.bounds.window});
    row.rate.requests_per_second *= factor;
    row.rate.burst *= factor;
    for (auto n = std::size_t{0}; n < daemons_.size(); ++n)
      at(now_ + span(uniform(0.02, 0.4)), [this, n] { configure(n); });
  }

  void run() {
    while (!events_.empty()) {
      auto it = events_.extract(events_.begin());
      if (it.key().first > client_start + options_.length) return;
      now_ = it.key().first;
      it.mapped()();
    }
  }

  // Results.

  /// Begins to count anew.
  void reset_counts() {
    for (auto& it : counts_) {
      auto excess = it.excess;
      it = {.excess = excess};
    }
  }
  const std::vector<team_counts>& counts() const { return counts_; }
  std::size_t clients_of(std::size_t team) const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(),
                      [&](const auto& it) { return it.team == team; }));
  }

  /// \return of what the rates allow, the share that was admitted.
  double admitted_share() const {
    auto admitted = std::uint64_t{0};
    auto allowed = std::uint64_t{0};
    for (const auto& it : counts_) {
      admitted += std::min(it.admitted, it.allowed);
      allowed += it.allowed;
    }
    return static_cast<double>(admitted) / static_cast<double>(allowed);
  }
  /// \return the greatest excess of any team in any window.
  double max_excess() const {
    auto out = -1e9;
    for (const auto& it : counts_)
      out = std::max(out, it.excess);
    return out;
  }
  double bytes_per_daemon_second() const {
    return static_cast<double>(bytes_) / static_cast<double>(daemons_.size()) /
           seconds(now_);
  }

  double uniform(double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random_);
  }
  std::size_t below(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
  }

 private:
  struct client {
    std::size_t team = 0;
    std::size_t data_centre = 0;
    std::size_t place = 0;
  };
  struct sent_report {
    std::size_t sender = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    bool informed = false;
    std::vector<team_count> counts;
    std::vector<std::uint64_t> unheard;
  };
  struct daemon {
    std::string name;
    std::size_t data_centre = 0;
    bool up = false;
    bool paused = false;
    /// Knows the configuration and serves.
    bool serves = false;
    /// Number of its process; scheduled work of older ones is dropped.
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    instant clock_lag{};
    instant began{};
    instant next_idle{};
    bool report_due = false;
    cut link;
    rate_ledger ledger;
    /// Number of the process and of the report that was last heard.
    std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> heard;
    /// What arrived while it was paused.
    std::deque<std::function<void()>> waiting;
  };
  struct old_limit {
    rate_limit rate;
    instant until{};
  };

  static constexpr auto client_start = instant(10s);
  static constexpr std::size_t socket_buffer = 270;

  void at(instant when, std::function<void()> what) {
    ensure(when >= now_, invariant::limit_holds, "an event lies in the past");
    events_.emplace(std::pair(when, ++events_made_), std::move(what));
  }

  void add_teams() {
    auto sum = 0.0;
    auto weights = std::vector<double>();
    for (auto n = std::size_t{1}; n <= options_.teams; ++n)
      sum += weights.emplace_back(
          std::pow(static_cast<double>(n), -options_.skew));
    for (auto n = std::size_t{0}; n < options_.teams; ++n) {
      auto rate = options_.requests_per_second * options_.rate_factor *
                  weights[n] / sum;
      teams_.push_back({.name = concat("team-", n),
                        .rate = {.requests_per_second = rate,
                                 .burst = std::max(rate, 1.0)}});
      weights[n] /= sum;
    }
    weights_ = std::move(weights);
    counts_.resize(options_.teams);
    ran_.resize(options_.teams);
    heat_.assign(options_.teams, 1);
    ideal_.assign(options_.teams, {0, instant{}});
    limits_until_.resize(options_.teams);
  }

  /// Each team has a client at least; the others follow the load.
  void add_clients() {
    auto per_team = std::vector<std::size_t>(options_.teams, 1);
    auto left = options_.clients - options_.teams;
    for (auto n = std::size_t{0}; n < options_.teams && left > 0; ++n) {
      auto more = std::min(
          left, static_cast<std::size_t>(
                    weights_[n] * static_cast<double>(options_.clients)));
      per_team[n] += more;
      left -= more;
    }
    for (auto n = std::size_t{0}; n < options_.teams; ++n) {
      for (auto i = std::size_t{0}; i < per_team[n]; ++i)
        clients_.push_back({n, below(options_.daemons.size()), below(1000)});
    }
    clients_per_team_ = per_team;
  }

  std::size_t add_daemon(std::size_t data_centre) {
    auto it = std::make_unique<daemon>();
    it->name = concat("vm-", data_centre, "-", daemons_.size());
    it->data_centre = data_centre;
    daemons_.push_back(std::move(it));
    return daemons_.size() - 1;
  }

  instant local(const daemon& it) const { return now_ - it.clock_lag; }

  void start(std::size_t n) {
    auto& it = *daemons_[n];
    if (it.up) return;
    it.up = true;
    it.paused = false;
    it.serves = false;
    it.report_due = false;
    ++it.life;
    it.sequence = 0;
    it.began = local(it);
    it.heard.clear();
    it.ledger = rate_ledger();
    it.ledger.bounds = options_.bounds;
    it.ledger.data_centres = options_.daemons.size();
    it.ledger.incarnation = random_();
    it.ledger.began = it.began;
    it.ledger.last_contact = it.began;
    it.ledger.last_heard = it.began;
    registered_[it.data_centre].insert(it.name);
    find_configuration(n, it.life);
    tick(n, it.life);
  }

  /// Reads the configuration and the members as soon as the store is reached.
  void find_configuration(std::size_t n, std::uint64_t life) {
    at(now_ + span(uniform(0.03, 0.12)), [this, n, life] {
      auto& it = *daemons_[n];
      if (it.life != life || it.serves) return;
      if (it.paused || !it.link.reaches_store)
        return find_configuration(n, life);
      configure(n);
      it.serves = true;
      for (const auto& name : registered_[it.data_centre]) {
        if (name != it.name) expect_member(it.ledger, name, local(it));
      }
      note_members_listed(it.ledger, local(it));
      send_report(n);
    });
  }

  void configure(std::size_t n) {
    auto& it = *daemons_[n];
    if (!it.up) return;
    if (it.paused || !it.link.reaches_store || !it.link.hears) {
      auto life = it.life;
      at(now_ + 200ms, [this, n, life] {
        if (daemons_[n]->life == life) configure(n);
      });
      return;
    }
    apply_limits(it.ledger, teams_, local(it));
  }

  void tick(std::size_t n, std::uint64_t life) {
    auto& it = *daemons_[n];
    if (it.life != life || !it.up) return;
    if (!it.paused) {
      observe_members(it.ledger, it.link.reaches_store, local(it));
      if (it.serves && must_report(it.ledger, local(it))) report_soon(n);
      if (it.serves && local(it) >= it.next_idle) send_report(n);
    }
    at(now_ + 20ms, [this, n, life] { tick(n, life); });
  }

  void report_soon(std::size_t n) {
    auto& it = *daemons_[n];
    if (std::exchange(it.report_due, true)) return;
    auto life = it.life;
    at(now_ + 2ms, [this, n, life] {
      auto& it = *daemons_[n];
      if (it.life != life) return;
      it.report_due = false;
      if (!it.paused) send_report(n);
    });
  }

  void send_report(std::size_t n) {
    auto& it = *daemons_[n];
    it.next_idle = local(it) + 250ms;
    auto report = std::make_shared<sent_report>(
        sent_report{.sender = n,
                    .incarnation = it.ledger.incarnation,
                    .life = it.life,
                    .sequence = ++it.sequence,
                    .informed = it.ledger.informed,
                    .counts = take_counts(it.ledger, local(it)),
                    .unheard = unheard_members(it.ledger)});
    for (auto to = std::size_t{0}; to < daemons_.size(); ++to) {
      const auto& other = *daemons_[to];
      if (to == n || other.data_centre != it.data_centre) continue;
      if (!report->counts.empty()) bytes_ += 12 + 16 * report->counts.size();
      auto open = it.link.sends && other.link.hears &&
                  it.link.group == other.link.group;
      if (!open || uniform(0, 1) < loss_) continue;
      at(now_ + span(uniform(0.0002, 0.002)) + span(uniform(0, seconds(late_))),
         [this, to, report] { deliver(to, report); });
    }
  }

  void deliver(std::size_t to, const std::shared_ptr<sent_report>& report) {
    auto& it = *daemons_[to];
    if (!it.up) return;
    if (it.paused) {
      if (it.waiting.size() < socket_buffer)
        it.waiting.push_back([this, to, report] { deliver(to, report); });
      return;
    }
    const auto& name = daemons_[report->sender]->name;
    auto& last = it.heard[report->sender];
    auto number = std::pair(report->life, report->sequence);
    if (number <= last) {
      if (report->life == last.first)
        hear_late_counts(it.ledger, name, report->counts, local(it));
      return;
    }
    last = number;
    hear_member(it.ledger,
                {.name = name,
                 .incarnation = report->incarnation,
                 .informed = report->informed,
                 .counts = report->counts,
                 .unheard = report->unheard},
                local(it));
  }

  /// The first thing that a daemon does after a pause is to notice it.
  void wake(daemon& it, instant paused) {
    if (paused > 300ms) note_pause(it.ledger, paused, local(it));
    auto waiting = std::exchange(it.waiting, {});
    for (auto& work : waiting)
      work();
  }

  double load_factor() const {
    auto phase = seconds(now_ - client_start);
    auto cycle = 5.8;
    return std::fmod(phase, cycle) < 3.4 ? 0.383 : 1.87;
  }

  void next_arrival(std::size_t n) {
    auto team = clients_[n].team;
    auto mean = options_.requests_per_second * weights_[team] /
                static_cast<double>(clients_per_team_[team]);
    auto rate = mean * heat_[team] * 1.87;
    auto wait = std::exponential_distribution<double>(rate)(random_);
    // Draws again at times, as the load may change.
    if (wait > 0.25) {
      at(now_ + 250ms, [this, n] { next_arrival(n); });
      return;
    }
    at(now_ + span(wait), [this, n] {
      if (uniform(0, 1) < load_factor() / 1.87) ask(n, options_.retries);
      next_arrival(n);
    });
  }

  /// \return the daemon that a client's connection leads to.
  std::optional<std::size_t> daemon_for(const client& it) {
    auto places = std::vector<std::size_t>();
    for (auto n = std::size_t{0}; n < daemons_.size(); ++n) {
      const auto& to = *daemons_[n];
      if (to.data_centre != it.data_centre) continue;
      places.push_back(n);
    }
    for (auto n = std::size_t{0}; n < places.size(); ++n) {
      auto to = places[(it.place + n) % places.size()];
      const auto& row = *daemons_[to];
      if (row.up && row.serves && row.link.keeps_clients) return to;
    }
    return std::nullopt;
  }

  void ask(std::size_t n, bool may_retry) {
    auto to = daemon_for(clients_[n]);
    if (!to) return;
    auto team = clients_[n].team;
    ++counts_[team].asked;
    if (take_ideal(team)) ++counts_[team].allowed;
    arrive(*to, daemons_[*to]->life, n, may_retry);
  }

  void arrive(std::size_t to, std::uint64_t life, std::size_t n,
              bool may_retry) {
    auto& it = *daemons_[to];
    if (it.life != life) return;
    if (it.paused) {
      it.waiting.push_back(
          [this, to, life, n, may_retry] { arrive(to, life, n, may_retry); });
      return;
    }
    auto team = clients_[n].team;
    auto decision = admit(it.ledger, team_key(teams_[team].name), local(it));
    if (decision.admitted) {
      note_run(team);
      report_soon(to);
    } else if (may_retry) {
      at(now_ + decision.retry_after, [this, n] {
        auto to = daemon_for(clients_[n]);
        if (to) arrive(*to, daemons_[*to]->life, n, false);
      });
    }
  }

  void note_run(std::size_t team) {
    auto& times = ran_[team];
    times.push_back(now_);
    while (times.front() <= now_ - options_.bounds.window)
      times.pop_front();
    auto most = max_in_window(teams_[team].rate, options_.bounds);
    for (const auto& it : limits_until_[team]) {
      if (now_ <= it.until)
        most = std::max(most, max_in_window(it.rate, options_.bounds));
    }
    auto& count = counts_[team];
    ++count.admitted;
    auto excess = static_cast<double>(times.size()) - most;
    if (excess > 0 && count.excess <= 0)
      note(concat("team ", team, " exceeds the bound of ", most));
    count.excess = std::max(count.excess, excess);
  }

  /// One bucket with the team's rate and burst.
  bool take_ideal(std::size_t team) {
    const auto& rate = teams_[team].rate;
    auto& [level, last] = ideal_[team];
    level -= seconds(now_ - last) * rate.requests_per_second;
    level = std::max(level, 0.0);
    last = now_;
    if (level + 1 > rate.burst + 1e-9) return false;
    level += 1;
    return true;
  }

  play_options options_;
  std::mt19937_64 random_;
  instant now_{};
  std::uint64_t events_made_ = 0;
  /// By time, then in the order of their making.
  std::map<std::pair<instant, std::uint64_t>, std::function<void()>> events_;
  std::vector<team> teams_;
  std::vector<double> weights_;
  std::vector<client> clients_;
  std::vector<std::size_t> clients_per_team_;
  std::vector<std::unique_ptr<daemon>> daemons_;
  std::map<std::size_t, std::set<std::string>> registered_;
  std::vector<double> heat_;
  std::vector<std::pair<double, instant>> ideal_;
  std::vector<std::vector<old_limit>> limits_until_;
  std::vector<std::deque<instant>> ran_;
  std::vector<team_counts> counts_;
  double loss_ = 0.001;
  instant late_{};
  std::string story_;
  std::uint64_t bytes_ = 0;
};

}  // namespace fulmar::teams::play
