#include "berylbarrow/process/cli/check.h"

#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "support/text_edit.h"

namespace berylbarrow {
namespace {

/// A file beside the test program that is removed at the end of the test.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text)
      : path_("check_test." + std::to_string(getpid()) + ".yaml") {
    std::ofstream(path_, std::ios::binary) << text;
  }
  ~temporary_file() { std::remove(path_.c_str()); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;

  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

struct check_run {
  int code = 0;
  std::string out;
  std::string err;
};

check_run Run(const std::string& path) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCheck(path, out, err);
  return {.code = code, .out = out.str(), .err = err.str()};
}

void CheckText(const std::string& text, int code, const std::string& out, const std::string& err) {
  const temporary_file file(text);
  const check_run run = Run(file.Path());
  const std::string prefix = file.Path() + ":";
  BOOST_TEST(run.code == code);
  BOOST_TEST(run.out == (out.empty() ? "" : prefix + out));
  BOOST_TEST(run.err == (err.empty() ? "" : prefix + err));
}

const std::string kAgent = R"(process: {name: draft-1, domain: north}
listen: {peers: "127.0.0.1:7201", operators: "127.0.0.1:7902"}
platform: {configuration_service: "127.0.0.1:7800", instance_list: "127.0.0.1:7801"}
upstream: {address: "127.0.0.1:8000", service: drafting}
)";

// Guards against a deployment script that takes a faulty file for a valid one.
BOOST_AUTO_TEST_CASE(SettingsFiles) {
  CheckText(kAgent, 0, " valid settings of agent \"draft-1\" in failure domain \"north\"\n", "");
  const std::string entry =
      Edit(Edit(kAgent, "{peers", "{callers: \"127.0.0.1:7001\", peers"),
           "upstream: {address: \"127.0.0.1:8000\", service: drafting}\n", "");
  CheckText(entry, 0, " valid settings of entry \"draft-1\" in failure domain \"north\"\n", "");
  CheckText(Edit(kAgent, "{peers", "{callers: \"127.0.0.1:7001\", peers"), 1, "",
            "4:11: the settings file has the key \"upstream\", which only agents have\n");
}

BOOST_AUTO_TEST_CASE(PublishedDocuments) {
  const check_run run = Run(SourcePath("examples/solano/move-plan.yaml"));
  BOOST_TEST(run.code == 0);
  BOOST_TEST(run.err.empty());
  BOOST_TEST(run.out == SourcePath("examples/solano/move-plan.yaml") +
                            ": valid published document: 3 failure domains, 8 entries, 2 services, "
                            "19 upstreams, 10 client accounts, 0 expert groups, 4 move plan "
                            "steps\n");
  const std::string text =
      Edit(ReadSource("examples/zebra/document.yaml"), "subset_size: 24\n", "subset_size: 0\n");
  const auto line = std::count(text.begin(), text.end(), '\n');
  CheckText(
      text, 1, "",
      std::to_string(line) + ":14: the document has subset_size 0, which is outside 1 to 1000\n");
  CheckText("services: [\n", 1, "", "1:11: malformed YAML: end of sequence flow not found\n");
}

// Guards against exit code 0 or 1 for something that is no input of berylbarrow.
BOOST_AUTO_TEST_CASE(UnusableFiles) {
  CheckText("other: 1\n", 2, "",
            " has neither the key \"process\" of a settings file nor the key \"services\" of a "
            "published document\n");
  const check_run missing = Run("check_test.no-such-file.yaml");
  BOOST_TEST(missing.code == 2);
  BOOST_TEST(missing.err == "check_test.no-such-file.yaml: cannot be read\n");
  BOOST_TEST(Run("/").code == 2);
}

}  // namespace
}  // namespace berylbarrow
