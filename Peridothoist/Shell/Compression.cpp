#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Compression.h>

#include <zstd.h>

namespace peridothoist {

namespace {

/// Low: compressing takes a few ms of a core for a large configuration.
constexpr int kLevel = 1;

/// Log2 of the longest distance to a repeated text, in bytes. Covers a base and
/// a text of several MB.
constexpr int kWindowLog = 23;

using CompressContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

} // namespace

std::string
CompressAgainst(std::string_view aBase, std::string_view aText)
{
  const CompressContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  if (context == nullptr) {
    return {};
  }
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, kWindowLog);
  // Finds the parts that a text has in common with its base.
  ZSTD_CCtx_setParameter(
    context.get(), ZSTD_c_enableLongDistanceMatching, aBase.empty() ? 0 : 1);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string bytes(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress2(
    context.get(), bytes.data(), bytes.size(), aText.data(), aText.size());
  if (ZSTD_isError(size) != 0) {
    return {};
  }
  bytes.resize(size);
  bytes.shrink_to_fit();
  return bytes;
}

std::optional<std::string>
DecompressAgainst(std::string_view aBase,
                  std::string_view aBytes,
                  std::size_t aMaxBytes)
{
  const auto size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  const bool isStated =
    size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
  if (!isStated || size > aMaxBytes) {
    return std::nullopt;
  }
  const DecompressContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  if (context == nullptr) {
    return std::nullopt;
  }
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string text(static_cast<std::size_t>(size), '\0');
  const std::size_t written = ZSTD_decompressDCtx(
    context.get(), text.data(), text.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(written) != 0 || written != text.size()) {
    return std::nullopt;
  }
  return text;
}

} // namespace peridothoist
