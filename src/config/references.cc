#include <algorithm>

#include "fulmarpitch/config/validation.h"
#include "fulmarpitch/core/text.h"

namespace fulmar {
namespace {

using kind = declaration_fault_kind;

constexpr std::uint32_t whole_percent = 100;

/// The checks over all objects, with the faults that they found.
class reference_checks {
 public:
  explicit reference_checks(const declared_objects& objects)
      : objects_(objects), value_(objects.value) {}

  std::vector<declaration_fault> run() {
    for (const auto& it : value_.models)
      check_model(it);
    for (const auto& it : value_.targets)
      check_target(it);
    for (const auto& it : value_.callers)
      check_caller(it);
    check_shared_names();
    check_classes();
    check_keys();
    check_addresses();
    check_operators();
    return std::move(faults_);
  }

 private:
  void fail(kind what, const object_key& key, std::string_view field,
            std::string allowed) {
    const auto place = objects_.places.find(key);
    const auto found =
        place == objects_.places.end() ? object_place{} : place->second;
    faults_.push_back(
        {what, found.file, concat(found.path, field), std::move(allowed)});
  }

  std::string declared_names(object_kind of) const {
    auto names = std::string();
    for (const auto& [key, place] : objects_.places) {
      if (key.kind == of) names.append(names.empty() ? "" : ", ") += key.name;
    }
    return names.empty() ? "none is declared" : names;
  }

  void refer(object_kind of, const std::string& name, const object_key& from,
             const std::string& field) {
    if (objects_.places.contains({of, name})) return;
    fail(kind::dangling_reference, from, field,
         concat("a declared ", name_in(object_kind_names, of), ": ",
                declared_names(of)));
  }

  void refer_all(object_kind of, const std::vector<std::string>& names,
                 const object_key& from, std::string_view field) {
    for (std::size_t n = 0; n < names.size(); ++n) {
      refer(of, names[n], from, concat("/", field, "/", n));
    }
  }

  static std::string names_of(const std::vector<weights_declaration>& all) {
    auto names = std::string();
    for (const auto& it : all)
      names.append(names.empty() ? "" : ", ") += it.name;
    return names.empty() ? "none is declared" : names;
  }

  static bool holds(const std::vector<weights_declaration>& all,
                    const std::string& name) {
    return std::any_of(all.begin(), all.end(),
                       [&](const auto& it) { return it.name == name; });
  }

  void check_model(const model_declaration& model) {
    const auto key = object_key{object_kind::model, model.name};
    if (!holds(model.versions, model.serving_version)) {
      fail(kind::dangling_reference, key, "/serving_version",
           concat("a version of the model: ", names_of(model.versions)));
    }
    check_distinct(model.versions, key, "/versions/");
    check_distinct(model.adapters, key, "/adapters/");
  }

  void check_distinct(const std::vector<weights_declaration>& all,
                      const object_key& key, std::string_view field) {
    auto seen = std::set<std::string>();
    for (std::size_t n = 0; n < all.size(); ++n) {
      if (seen.insert(all[n].name).second) continue;
      fail(kind::duplicate, key, concat(field, n, "/name"),
           "a name that stands once in the list");
    }
  }

  void check_target(const target_declaration& target) {
    const auto key = object_key{object_kind::target, target.name};
    refer_all(object_kind::model, target.models, key, "models");
    refer_all(object_kind::service, target.services, key, "services");
    for (std::size_t n = 0; n < target.adapters.size(); ++n) {
      check_adapter(target, n);
    }
  }

  void check_adapter(const target_declaration& target, std::size_t n) {
    auto known = std::string();
    for (const auto& it : value_.models) {
      const auto& loaded = target.models;
      if (std::find(loaded.begin(), loaded.end(), it.name) == loaded.end()) {
        continue;
      }
      if (holds(it.adapters, target.adapters[n])) return;
      if (it.adapters.empty()) continue;
      known.append(known.empty() ? "" : ", ") += names_of(it.adapters);
    }
    fail(kind::dangling_reference, {object_kind::target, target.name},
         concat("/adapters/", n),
         concat("an adapter of the target's models: ",
                known.empty() ? "none is declared" : known));
  }

  void check_caller(const caller_declaration& caller) {
    refer(object_kind::caller_class, caller.class_name,
          {object_kind::caller, caller.name}, "/class");
  }

  /// Requests name models, adapters and services alike, so these names differ.
  void check_shared_names() {
    auto owners = std::map<std::string, std::string>();
    const auto claim = [&](const std::string& name, const object_key& key,
                           const std::string& field) {
      const auto [it, is_new] = owners.emplace(name, to_string(key));
      if (is_new) return;
      fail(kind::duplicate, key, field,
           concat("a name that no other model, service or adapter has; ",
                  it->second, " has it"));
    };
    for (const auto& it : value_.models) {
      claim(it.name, {object_kind::model, it.name}, "/name");
    }
    for (const auto& it : value_.services) {
      claim(it.name, {object_kind::service, it.name}, "/name");
    }
    for (const auto& it : value_.models) {
      for (std::size_t n = 0; n < it.adapters.size(); ++n) {
        claim(it.adapters[n].name, {object_kind::model, it.name},
              concat("/adapters/", n, "/name"));
      }
    }
  }

  void check_classes() {
    auto ranks = std::map<std::uint32_t, std::string>();
    auto percent = std::uint32_t(0);
    auto last_online = std::uint32_t(0);
    for (const auto& it : value_.classes) {
      const auto key = object_key{object_kind::caller_class, it.name};
      percent += it.guaranteed_percent;
      if (it.kind != work_kind::batch) {
        last_online = std::max(last_online, it.rank);
      }
      const auto [other, is_new] = ranks.emplace(it.rank, it.name);
      if (is_new) continue;
      fail(
          kind::duplicate, key, "/rank",
          concat("a rank that no other class has; ", other->second, " has it"));
    }
    check_batch_ranks(last_online);
    if (percent <= whole_percent) return;
    for (const auto& it : value_.classes) {
      if (it.guaranteed_percent == 0) continue;
      fail(kind::inconsistent, {object_kind::caller_class, it.name},
           "/guaranteed_percent",
           concat("shares of all classes that add up to at most 100; they add "
                  "up to ",
                  percent));
    }
  }

  void check_batch_ranks(std::uint32_t last_online) {
    for (const auto& it : value_.classes) {
      if (it.kind != work_kind::batch || it.rank >= last_online) continue;
      fail(kind::inconsistent, {object_kind::caller_class, it.name}, "/rank",
           concat("a batch class's rank is above ", last_online,
                  ", the last online class's"));
    }
  }

  template <typename Owner>
  void claim_keys(object_kind of, const std::vector<Owner>& owners,
                  std::map<std::string, object_key>& seen) {
    for (const auto& it : owners) {
      const auto key = object_key{of, it.name};
      for (std::size_t n = 0; n < it.key_hashes.size(); ++n) {
        const auto [other, is_new] = seen.emplace(it.key_hashes[n], key);
        if (is_new || other->second == key) continue;
        fail(kind::duplicate, key, concat("/key_hashes/", n),
             concat("a key of its own; ", to_string(other->second),
                    " has this one"));
      }
    }
  }

  void check_keys() {
    auto seen = std::map<std::string, object_key>();
    claim_keys(object_kind::caller, value_.callers, seen);
    claim_keys(object_kind::operator_account, value_.operators, seen);
  }

  void check_addresses() {
    auto seen = std::map<std::string, std::string>();
    for (const auto& it : value_.targets) {
      const auto [other, is_new] = seen.emplace(it.address, it.name);
      if (is_new) continue;
      fail(kind::duplicate, {object_kind::target, it.name}, "/address",
           concat("an address of its own; target ", other->second,
                  " has this one"));
    }
  }

  void check_operators() {
    const auto declared = std::any_of(
        objects_.places.begin(), objects_.places.end(), [](const auto& it) {
          return it.first.kind == object_kind::operator_account;
        });
    if (declared) return;
    faults_.push_back({kind::missing_field, "", "/operators",
                       "at least one operator, or nobody could change the "
                       "declarations again"});
  }

  const declared_objects& objects_;
  const configuration& value_;
  std::vector<declaration_fault> faults_;
};

}  // namespace

std::vector<declaration_fault> check_references(
    const declared_objects& objects) {
  return reference_checks(objects).run();
}

}  // namespace fulmar
