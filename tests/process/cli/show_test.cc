#include "process/cli/show.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace berylbarrow {
namespace {

// Guards against a table whose columns do not line up when rows have different members.
BOOST_AUTO_TEST_CASE(ListsOfObjectsBecomeAlignedTables) {
  std::ostringstream out;
  PrintTable({{"revision", 7},
              {"domains",
               {{{"name", "heredia"}, {"state", "in"}}, {{"name", "cartago"}, {"warm", true}}}}},
             out);
  BOOST_TEST(out.str() ==
             "\ndomains\n"
             "name     state  warm\n"
             "heredia  in     -\n"
             "cartago  -      true\n"
             "revision 7\n");
}

// Guards against an exit code of 0 for a process that does not answer.
BOOST_AUTO_TEST_CASE(UnreachableProcessIsAnError) {
  std::ostringstream out;
  std::ostringstream err;
  BOOST_TEST(Show("nowhere", "state", show_format::kJson, out, err) == 1);
  BOOST_TEST(err.str().find("nowhere") != std::string::npos);
  BOOST_TEST(out.str().empty());
}

}  // namespace
}  // namespace berylbarrow
