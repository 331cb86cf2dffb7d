#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet.pb.h"

namespace bg::fleet::detail {

/// Upper limit of the size of a document, in bytes.
constexpr size_t kMaxDocumentBytes = 16UL << 20;

/// A versioned document that hosts pass on to each other: as a patch to a host that has the version
/// before, otherwise as a whole. Both are compressed, each at most once a version.
class SharedDocument
{
public:
  uint64_t Version() const { return version_; }
  const std::string& Text() const { return text_; }

  /// Replaces the document by a newer version of it.
  /// @param aReceived The encoded form in which a peer has sent it; null: it was not sent by a
  /// peer.
  void Replace(uint64_t aVersion, std::string aText, const wire::Document* aReceived);

  /// Encodes the document for a receiver.
  /// @param aKnownVersion Version that the receiver has; 0: none.
  const wire::Document& Encode(uint64_t aKnownVersion) const;
  /// Version to which the patch of Encode() applies; 0: there is none.
  uint64_t PatchBase() const { return patch_.base_version(); }

  /// Decodes a document. @return Nothing if it is malformed or a patch of another version than this
  /// one.
  std::optional<std::string> Decode(const wire::Document& aDocument) const;

private:
  uint64_t version_ = 0;
  std::string text_;
  wire::Document patch_;         ///< From the version before; without data if there is none.
  mutable wire::Document whole_; ///< Without data until it is needed.
};

/// Describes a text by copies of pieces of an older one and insertions. Takes time linear in the
/// sizes of both.
wire::Patch MakePatch(std::string_view aOld, std::string_view aNew);
/// @return Nothing if the patch does not fit the old text.
std::optional<std::string> ApplyPatch(std::string_view aOld, const wire::Patch& aPatch);

} // namespace bg::fleet::detail
