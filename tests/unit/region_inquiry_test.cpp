/// \file
/// Tests of region_inquiry.
#include "agatedale/region_inquiry.h"

#include <boost/test/unit_test.hpp>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(region_inquiry_test)

namespace {

constexpr time_point Start{std::chrono::hours(1)};

entry_vm vm(const std::string &Name, const std::string &Region) {
  entry_vm Vm;
  Vm.Id = {Name, 1};
  Vm.Region = Region;
  return Vm;
}

std::vector<entry_vm> fleet() {
  return {vm("r-1", "r"), vm("s-1", "s"), vm("s-2", "s"), vm("s-3", "s"),
          vm("t-1", "t")};
}

region_inquiry inquiry() {
  return region_inquiry::create(vm("r-0", "r"), Start);
}

} // namespace

// Guards against a VM that starts alone in its region and knows only the rows.
BOOST_AUTO_TEST_CASE(SomeVmsOfEachOtherRegionAreAsked) {
  region_inquiry Inquiry = inquiry();
  std::map<std::string, int> Asked;
  for (const entry_vm &Vm : Inquiry.next(fleet(), Start))
    ++Asked[Vm.Region];
  BOOST_TEST((Asked == std::map<std::string, int>{{"s", 2}, {"t", 1}}));
}

BOOST_AUTO_TEST_CASE(RegionThatHasRepliedIsAskedNoMore) {
  region_inquiry Inquiry = inquiry();
  for (const entry_vm &Vm : Inquiry.next(fleet(), Start))
    Inquiry.onReply(Vm);
  BOOST_TEST(Inquiry.next(fleet(), Start).empty());
}

BOOST_AUTO_TEST_CASE(OtherVmsAreAskedInPlaceOfSilentOnes) {
  region_inquiry Inquiry = inquiry();
  Inquiry.next(fleet(), Start);
  const auto Next = Inquiry.next(fleet(), Start + milliseconds(250));
  BOOST_REQUIRE(Next.size() == 1);
  BOOST_TEST(Next[0].Region == "s");
  BOOST_TEST(Inquiry.next(fleet(), Start + milliseconds(500)).empty());
}

BOOST_AUTO_TEST_CASE(NobodyIsAskedLongAfterTheStart) {
  BOOST_TEST(inquiry().next(fleet(), Start + region_inquiry::MaxTime).empty());
}

BOOST_AUTO_TEST_SUITE_END()
