// ivygw-load-test: load tests of control, with hollow gateways and backends beside real cores.
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <sstream>

#include "load_test/fit.h"
#include "load_test/run.h"

using ivygw::load_test::Plan;
using ivygw::load_test::Result;

namespace {

using Results = std::vector<std::pair<double, Result>>;  // by the value of what was varied

// A row for each figure: its value at nought and its slope over `varied`, by least squares.
void PrintSlopes(const std::string& varied, const Results& results) {
  std::printf("%-16s %12s %14s %12s\n", "for each", "at nought", varied.c_str(), "spread");
  auto row = [&](const char* name, double (*pick)(const Result&)) {
    std::vector<std::pair<double, double>> points;
    points.reserve(results.size());
    for (const auto& [value, result] : results) points.push_back({value, pick(result)});
    auto fit = ivygw::load_test::LeastSquares(points);
    std::printf("%-16s %12.5g %14.5g %12.2g\n", name, fit.base, fit.slope, fit.spread);
  };
  row("registry cpu", [](const Result& r) { return r.registry.cores; });
  row("registry MB", [](const Result& r) { return r.registry.memory_mb; });
  row("store cpu", [](const Result& r) { return r.store.cores; });
  row("store MB", [](const Result& r) { return r.store.memory_mb; });
  row("gateway in B/s", [](const Result& r) { return r.gateway_in; });
  row("gateway out B/s", [](const Result& r) { return r.gateway_out; });
  row("lists KB", [](const Result& r) { return r.list_kb; });
  row("ready s", [](const Result& r) { return r.ready_s; });
  row("change ms", [](const Result& r) { return r.change_ms; });
}

cxxopts::Options DeclaredOptions(const std::string& program) {
  cxxopts::Options options("load_test", "hollow gateways and backends beside real cores, over loopback");
  auto number = [](int value) { return cxxopts::value<int>()->default_value(std::to_string(value)); };
  options.add_options()("cores", "core machines", number(3))("gateways", "hollow gateways", number(100))(
      "backends", "hollow backends", number(300))("services", "services", number(20))(
      "routes", "routes", number(100))("tenants", "tenants", number(100))(
      "active", "tenants with traffic at each gateway", number(8))(
      "changes", "changes of a route a second", cxxopts::value<double>()->default_value("0.5"))(
      "restarts", "gateways started anew a second", cxxopts::value<double>()->default_value("0"))(
      "seconds", "of the load", number(10))("seed", "of what is drawn", number(1))("port", "first of three",
                                                                                   number(21000))(
      "programs", "folder of ivygw-registry and ivygw-config-store",
      cxxopts::value<std::string>()->default_value(std::filesystem::path(program).parent_path().string()))(
      "over", "NAME=A,B,C: one run for each, and slopes by least squares", cxxopts::value<std::string>())(
      "help", "print this");
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    Plan plan;
    cxxopts::Options options = DeclaredOptions(argv[0]);
    auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) return std::puts(options.help().c_str()) < 0;
    std::map<std::string, int*> fields = {{"cores", &plan.cores},       {"gateways", &plan.gateways},
                                          {"backends", &plan.backends}, {"services", &plan.services},
                                          {"routes", &plan.routes},     {"tenants", &plan.tenants},
                                          {"active", &plan.active},     {"port", &plan.first_port}};
    for (auto& [name, field] : fields) *field = arguments[name].as<int>();
    plan.changes_per_s = arguments["changes"].as<double>();
    plan.restarts_per_s = arguments["restarts"].as<double>();
    plan.seconds = arguments["seconds"].as<int>();
    plan.seed = static_cast<uint64_t>(arguments["seed"].as<int>());
    plan.programs = arguments["programs"].as<std::string>();
    std::string over;
    std::vector<int> values = {0};
    if (arguments.count("over")) {
      std::istringstream text(arguments["over"].as<std::string>());
      std::getline(text, over, '=');
      values.clear();
      for (std::string part; std::getline(text, part, ',');) values.push_back(std::atoi(part.c_str()));
      if (!fields.count(over) || values.size() < 2) {
        std::fprintf(stderr, "ivygw-load-test: over: NAME=A,B,C is wanted, NAME one of the counts\n");
        return 2;
      }
    }
    Results results;
    for (int value : values) {
      if (!over.empty()) *fields.at(over) = value;
      if (std::string fault = ivygw::load_test::Check(plan); !fault.empty()) {
        std::fprintf(stderr, "ivygw-load-test: %s\n", fault.c_str());
        return 2;
      }
      char folder[] = "/tmp/ivygw_load_test.XXXXXX";
      if (!mkdtemp(folder)) return 1;
      plan.folder = folder;
      Result result = ivygw::load_test::Run(plan);
      std::filesystem::remove_all(folder);
      std::puts(ivygw::load_test::Line(plan, result).c_str());
      std::fflush(stdout);
      if (!result.failed.empty()) return 1;
      results.push_back({value, result});
    }
    if (over.empty()) return 0;
    PrintSlopes(over, results);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "ivygw-load-test: %s\n", error.what());
    return 1;
  }
}
