#define BOOST_TEST_MODULE berylbarrow
#include <boost/test/unit_test.hpp>
