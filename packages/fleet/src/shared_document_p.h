#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "boragegauge/fleet.h"
#include "fleet.pb.h"

namespace bg::fleet::detail {

/// Upper limit of the size of a document, in bytes.
constexpr size_t kMaxDocumentBytes = 16UL << 20;

/// Identifies a configuration. Revisions order configurations over restores of the store; of one
/// revision, the last one that was written is the newest.
struct ConfigurationId
{
  uint64_t revision = 0;  ///< Set by the operator; 0: no configuration.
  StorePosition position; ///< Of the row.
  uint64_t digest = 0;    ///< Of the text.

  bool IsNewerThan(const ConfigurationId& aOther) const
  {
    return std::tie(revision, position) > std::tie(aOther.revision, aOther.position);
  }
  bool HasSameText(const ConfigurationId& aOther) const
  {
    return revision == aOther.revision && digest == aOther.digest;
  }
};

/// A configuration that hosts pass on to each other: as a patch to a host that has the one before,
/// otherwise as a whole. Both are compressed, each at most once a configuration.
class SharedDocument
{
public:
  const ConfigurationId& Id() const { return id_; }
  const std::string& Text() const { return text_; }

  /// Replaces the document by a newer one.
  /// @param aReceived The encoded form in which a peer has sent it; null: it was not sent by a
  /// peer.
  void Replace(const ConfigurationId& aId, std::string aText, const wire::Document* aReceived);
  /// Records that the same text was written again at another position.
  void SetPosition(StorePosition aPosition) { id_.position = aPosition; }

  /// Encodes the document for a receiver.
  /// @param aKnownDigest Digest of the text that the receiver has; 0: none.
  const wire::Document& Encode(uint64_t aKnownDigest) const;
  /// Digest of the text to which the patch of Encode() applies; 0: there is none.
  uint64_t PatchBase() const { return patch_.base_digest(); }

  /// Decodes a document. @return Nothing if it is malformed or a patch of another text than this
  /// one.
  std::optional<std::string> Decode(const wire::Document& aDocument) const;

private:
  ConfigurationId id_;
  std::string text_;
  wire::Document patch_;         ///< From the text before; without data if there is none.
  mutable wire::Document whole_; ///< Without data until it is needed.
};

/// Describes a text by copies of pieces of an older one and insertions. Takes time linear in the
/// sizes of both.
wire::Patch MakePatch(std::string_view aOld, std::string_view aNew);
/// @return Nothing if the patch does not fit the old text.
std::optional<std::string> ApplyPatch(std::string_view aOld, const wire::Patch& aPatch);

} // namespace bg::fleet::detail
