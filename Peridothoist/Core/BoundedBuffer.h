/// Collects the bytes of one message from outside, up to a limit, and draws
/// them from the process's memory.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/MemoryBudget.h>

namespace peridothoist {

/// Why a buffer does not take more bytes.
enum class BufferError
{
  None,
  TooLarge, ///< The message exceeds its limit.
  NoMemory  ///< The process holds too much.
};

/// What the first bytes of a message, and those of a large one, are drawn for.
struct BufferUse
{
  MemoryUse mSmall = MemoryUse::Response;
  MemoryUse mLarge = MemoryUse::LargeResponse;
};

constexpr BufferUse kRequestBuffer = { MemoryUse::Request,
                                       MemoryUse::LargeRequest };
constexpr BufferUse kResponseBuffer = { MemoryUse::Response,
                                        MemoryUse::LargeResponse };
constexpr BufferUse kDocumentBuffer = { MemoryUse::Document,
                                        MemoryUse::Document };

/// The bytes of one message.
///
/// What is drawn is never less than what the buffer holds. After an error the
/// buffer is empty and takes nothing more.
class BoundedBuffer
{
public:
  /// aBudget: null: only aMaxBytes bounds the buffer.
  BoundedBuffer(std::shared_ptr<MemoryBudget> aBudget,
                std::size_t aMaxBytes,
                BufferUse aUse)
    : mMaxBytes(aMaxBytes)
    , mUse(aUse)
    , mCharge(std::move(aBudget))
  {
  }

  /// Draws the memory of a message whose size is known.
  bool Reserve(std::size_t aBytes);

  /// Appends bytes. Returns false if the buffer can't take them.
  bool Append(std::string_view aBytes);

  BufferError Error() const { return mError; }

  /// Returns the bytes, which stay drawn until the charge is given up.
  std::string Take() { return std::move(mBytes); }
  MemoryCharge TakeCharge() { return std::move(mCharge); }

private:
  bool Fail(BufferError aError);

  std::size_t mMaxBytes;
  BufferUse mUse;
  MemoryCharge mCharge;
  std::string mBytes;
  BufferError mError = BufferError::None;
};

} // namespace peridothoist
