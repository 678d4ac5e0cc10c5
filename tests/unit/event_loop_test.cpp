/// \file
/// Tests of event_loop with handlers that fail.
#include "../../src/gateway/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <Poco/Net/DatagramSocket.h>

#include <stdexcept>
#include <thread>

using namespace agatedale;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(event_loop_test)

BOOST_AUTO_TEST_CASE(ExceptionOfATaskEndsThisTaskOnly) {
  const auto Loop = moveValue(event_loop::create());
  bool IsNextRun = false;
  Loop->post([] { throw std::runtime_error("posted"); });
  Loop->after(milliseconds(1), [] { throw std::runtime_error("timer"); });
  Loop->after(milliseconds(5), [&] {
    IsNextRun = true;
    Loop->stop();
  });
  Loop->run();
  BOOST_TEST(IsNextRun);
}

// Guards against a timeout that counts though the answer has arrived while the
// loop was busy.
BOOST_AUTO_TEST_CASE(SocketThatIsReadyAfterALongTurnGoesBeforeTimers) {
  const auto Loop = moveValue(event_loop::create());
  const Poco::Net::SocketAddress Loopback("127.0.0.1", 0);
  Poco::Net::DatagramSocket Receiver(Loopback);
  Poco::Net::DatagramSocket Sender(Loopback);
  bool IsReadFirst = false;
  bool HasRead = false;
  Loop->watch(Receiver, Poco::Net::PollSet::POLL_READ, [&](int) {
    char Byte = 0;
    Receiver.receiveBytes(&Byte, 1);
    HasRead = true;
  });
  Loop->after(milliseconds(30), [&] {
    IsReadFirst = HasRead;
    Loop->stop();
  });
  Loop->post([&] {
    Sender.sendTo("x", 1, Receiver.address());
    std::this_thread::sleep_for(milliseconds(100));
  });
  Loop->run();
  BOOST_TEST(IsReadFirst);
}

BOOST_AUTO_TEST_SUITE_END()
