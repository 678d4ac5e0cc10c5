/// \file
/// Compression with the zlib streams of POCO.
#include "compression.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <fmt/format.h>

#include <sstream>

namespace agatedale {

namespace {

/// The fastest level; higher ones take several times as long for rows that
/// repeat the same field names.
constexpr int CompressionLevel = 1;

error damaged(std::string_view Why) {
  return {error_kind::InvalidInput,
          fmt::format("damaged compressed data: {}", Why)};
}

} // namespace

std::string compress(std::string_view Bytes) {
  std::ostringstream Out;
  Poco::DeflatingOutputStream Stream(Out, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                     CompressionLevel);
  Stream.write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Stream.close();
  return std::move(Out).str();
}

result<std::string> decompress(std::string_view Compressed, std::size_t Size) {
  Poco::MemoryInputStream In(Compressed.data(),
                             static_cast<std::streamsize>(Compressed.size()));
  Poco::InflatingInputStream Stream(In, Poco::InflatingStreamBuf::STREAM_ZLIB);
  std::string Bytes;
  try {
    // Grows with the data, as the size is not trusted.
    char Part[16 * 1024];
    while (Bytes.size() <= Size && Stream.good()) {
      Stream.read(Part, sizeof Part);
      Bytes.append(Part, static_cast<std::size_t>(Stream.gcount()));
    }
  } catch (const Poco::Exception &Failure) {
    return damaged(Failure.displayText());
  }
  if (Bytes.size() != Size || Stream.bad())
    return damaged(fmt::format("{} bytes in place of {}", Bytes.size(), Size));
  return Bytes;
}

} // namespace agatedale
