#include "shared_document_p.h"

#include <algorithm>
#include <unordered_map>

#include "boragegauge/base.h"
#include "messages_p.h"

namespace bg::fleet::detail {

namespace {

/// Pieces end after these characters, which end the items of the usual document formats.
constexpr std::string_view kPieceEnds = "}\n";
/// Shorter pieces occur too often to tell places in a text apart.
constexpr size_t kMinPieceBytes = 24;
constexpr size_t kMaxPieceBytes = 1024;

/// Returns the piece at the start of a text that is not empty.
std::string_view FirstPiece(std::string_view aText)
{
  const size_t end = aText.find_first_of(kPieceEnds, std::min(kMinPieceBytes, aText.size()));
  return aText.substr(0, std::min(end == std::string_view::npos ? end : end + 1, kMaxPieceBytes));
}

wire::Document Compress(std::string_view aBytes, uint64_t aBaseDigest, std::string_view aText)
{
  wire::Document document;
  document.set_base_digest(aBaseDigest);
  document.set_digest(Hash64(aText));
  document.set_size(static_cast<uint32_t>(aBytes.size()));
  document.set_data(CompressBytes(aBytes));
  return document;
}

} // namespace

wire::Patch MakePatch(std::string_view aOld, std::string_view aNew)
{
  std::unordered_map<std::string_view, size_t> pieces;
  for (size_t at = 0; at < aOld.size();) {
    const std::string_view piece = FirstPiece(aOld.substr(at));
    pieces.emplace(piece, at);
    at += piece.size();
  }
  wire::Patch patch;
  wire::PatchStep* step = nullptr;
  for (size_t at = 0; at < aNew.size();) {
    const std::string_view piece = FirstPiece(aNew.substr(at));
    at += piece.size();
    const bool isCopy = step != nullptr && step->insert().empty();
    const size_t copyEnd = isCopy ? size_t{ step->copy_from() } + step->copy_bytes() : 0;
    if (isCopy && aOld.substr(copyEnd).starts_with(piece)) {
      step->set_copy_bytes(static_cast<uint32_t>(step->copy_bytes() + piece.size()));
      continue;
    }
    const auto known = pieces.find(piece);
    if (known != pieces.end()) {
      step = patch.add_steps();
      step->set_copy_from(static_cast<uint32_t>(known->second));
      step->set_copy_bytes(static_cast<uint32_t>(piece.size()));
      continue;
    }
    step = step == nullptr || isCopy ? patch.add_steps() : step;
    step->mutable_insert()->append(piece);
  }
  return patch;
}

std::optional<std::string> ApplyPatch(std::string_view aOld, const wire::Patch& aPatch)
{
  std::string text;
  for (const wire::PatchStep& step : aPatch.steps()) {
    const size_t end = size_t{ step.copy_from() } + step.copy_bytes();
    const size_t added = step.insert().empty() ? step.copy_bytes() : step.insert().size();
    if (end > aOld.size() || text.size() + added > kMaxDocumentBytes) {
      return std::nullopt;
    }
    if (step.insert().empty()) {
      text.append(aOld.substr(step.copy_from(), step.copy_bytes()));
    } else {
      text.append(step.insert());
    }
  }
  return text;
}

void SharedDocument::Replace(const ConfigurationId& aId,
                             std::string aText,
                             const wire::Document* aReceived)
{
  patch_.Clear();
  if (aReceived != nullptr && aReceived->base_digest() != 0) {
    patch_ = *aReceived;
  } else if (id_.revision != 0) {
    patch_ = Compress(MakePatch(text_, aText).SerializeAsString(), id_.digest, aText);
  }
  whole_.Clear();
  id_ = aId;
  text_ = std::move(aText);
}

const wire::Document& SharedDocument::Encode(uint64_t aKnownDigest) const
{
  if (aKnownDigest != 0 && aKnownDigest == patch_.base_digest()) {
    return patch_;
  }
  if (whole_.data().empty()) {
    whole_ = Compress(text_, 0, text_);
  }
  return whole_;
}

std::optional<std::string> SharedDocument::Decode(const wire::Document& aDocument) const
{
  if (aDocument.size() > kMaxDocumentBytes ||
      (aDocument.base_digest() != 0 && aDocument.base_digest() != id_.digest)) {
    return std::nullopt;
  }
  std::optional<std::string> text = DecompressBytes(aDocument.data(), aDocument.size());
  if (text && aDocument.base_digest() != 0) {
    wire::Patch patch;
    text = patch.ParseFromString(*text) ? ApplyPatch(text_, patch) : std::nullopt;
  }
  const bool isIntact = text && Hash64(*text) == aDocument.digest();
  return isIntact ? std::move(text) : std::nullopt;
}

} // namespace bg::fleet::detail
