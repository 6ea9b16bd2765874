#include "connection/http/expert_map_text.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace berylbarrow {
namespace {

using nlohmann::json;

json ToJson(const std::optional<scheduled_map>& scheduled) {
  if (!scheduled) {
    return nullptr;
  }
  const expert_map& map = scheduled->map;
  return {{"version", map.Version()},
          {"activation_step", scheduled->activation_step},
          {"ranks", map.Shape().ranks},
          {"layers", map.Shape().layers},
          {"experts", map.Shape().experts},
          {"slots_per_rank", map.Shape().slots_per_rank},
          {"slots", map.Slots()}};
}

json ToJson(const fencing_token& token) { return {{"term", token.term}, {"rank", token.rank}}; }

/// Throws nlohmann::json::exception, or std::length_error for slots that do not fit the shape.
std::optional<scheduled_map> MapFrom(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || found->is_null()) {
    return std::nullopt;
  }
  const group_shape shape{.ranks = found->at("ranks"),
                          .layers = found->at("layers"),
                          .experts = found->at("experts"),
                          .slots_per_rank = found->at("slots_per_rank")};
  auto slots = found->at("slots").get<std::vector<expert_index>>();
  if (slots.size() != shape.layers * shape.SlotsPerLayer()) {
    throw std::length_error("slots do not fit the shape");
  }
  return scheduled_map{.map = expert_map(found->at("version"), shape, std::move(slots)),
                       .activation_step = found->at("activation_step")};
}

fencing_token TokenFrom(const json& body) {
  const json& token = body.at("token");
  return {.term = token.at("term"), .rank = token.at("rank")};
}

}  // namespace

std::string EngineStateText(const engine_state& state) {
  return json{{"instance", state.instance},         {"next_step", state.next_step},
              {"token", ToJson(state.token)},       {"loading", state.loading},
              {"previous", ToJson(state.previous)}, {"committed", ToJson(state.committed)},
              {"pending", ToJson(state.pending)},   {"load", state.load}}
      .dump();
}

engine_state ParseEngineState(const std::string& text) {
  try {
    const json body = json::parse(text);
    return {.reachable = true,
            .instance = body.at("instance"),
            .next_step = body.at("next_step"),
            .token = TokenFrom(body),
            .loading = body.at("loading"),
            .previous = MapFrom(body, "previous"),
            .committed = MapFrom(body, "committed"),
            .pending = MapFrom(body, "pending"),
            .load = body.value("load", expert_load())};
  } catch (const std::exception&) {
    return {};
  }
}

std::string OrderText(const engine_order& order) {
  json body{{"token", ToJson(order.token)}, {"version", order.version}};
  if (order.map) {
    body["map"] = ToJson(order.map);
  }
  if (order.previous) {
    body["previous"] = ToJson(order.previous);
  }
  return body.dump();
}

std::optional<engine_order> ParseOrder(const std::string& text) {
  try {
    const json body = json::parse(text);
    return engine_order{.token = TokenFrom(body),
                        .version = body.at("version"),
                        .map = MapFrom(body, "map"),
                        .previous = MapFrom(body, "previous")};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace berylbarrow
