/// \file
/// The entry point of a test program.
#define BOOST_TEST_MODULE agatedale
#include <boost/test/unit_test.hpp>
