package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.comfreygap.settings.DocumentKind;
import org.comfreygap.settings.SettingsPath;
import org.comfreygap.settings.TreeRules;

/**
 * The documents of the settings tree, by path.
 *
 * <p>Invariant: the indexes of open services and active keys match the documents. Documents are
 * stored only as JSON text, since parsed documents would double the memory. Not thread-safe.
 */
final class SettingsTree implements TreeRules.Tree {

  /** Bounds the heap; far above the expected 12,000 adapters with a few versions each. */
  static final int MAX_DOCUMENTS = 100_000;

  /** Bounds the heap for large documents; the fleet assumed in the design uses a quarter of it. */
  static final long MAX_CHARACTERS = 12_000_000;

  /**
   * Bounds the deleted versions that are remembered so that their names are not reused for other
   * weights.
   */
  private static final int MAX_DELETED_VERSIONS = 20_000;

  private static final long MAX_DELETED_CHARACTERS = 2_000_000;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<String, String> openServices = new HashMap<>();
  private final Map<String, String> activeKeys = new HashMap<>();
  private final Map<String, String> deletedVersions = new LinkedHashMap<>();
  private long characters;
  private long deletedCharacters;

  /** A document with its last change. */
  record Entry(String document, long revision, String changedBy, long changedAtMillis) {}

  /** Returns true when {@code path} is {@code prefix} or lies below it. */
  static boolean isWithin(String path, String prefix) {
    return prefix.equals("/")
        || path.equals(prefix)
        || (path.startsWith(prefix) && path.charAt(prefix.length()) == '/');
  }

  /** Returns true when {@code document} is a key document in state active. */
  static boolean isActiveKey(String document) {
    return parse(document).path("state").asText().equals("active");
  }

  Optional<Entry> find(String path) {
    return Optional.ofNullable(entries.get(path));
  }

  int size() {
    return entries.size();
  }

  /** Returns the total characters of all paths and documents. */
  long characters() {
    return characters;
  }

  /** Returns the documents at and below {@code prefix}. */
  Map<String, Entry> subtree(String prefix) {
    if (prefix.equals("/")) {
      return entries;
    }
    Map<String, Entry> found = new LinkedHashMap<>();
    find(prefix).ifPresent(entry -> found.put(prefix, entry));
    found.putAll(below(prefix));
    return found;
  }

  void put(String path, Entry entry) {
    unindex(path);
    Entry before = entries.put(path, entry);
    characters += sizeOf(path, entry.document);
    characters -= before == null ? 0 : sizeOf(path, before.document);
    index(path, entry.document);
  }

  void delete(String path) {
    unindex(path);
    Entry removed = entries.remove(path);
    characters -= removed == null ? 0 : sizeOf(path, removed.document);
    if (removed != null && kind(path).filter(DocumentKind.ADAPTER_VERSION::equals).isPresent()) {
      addDeletedVersion(path, removed.document);
    }
  }

  Map<String, String> deletedVersions() {
    return deletedVersions;
  }

  void addDeletedVersion(String path, String document) {
    String before = deletedVersions.put(path, document);
    deletedCharacters += sizeOf(path, document);
    deletedCharacters -= before == null ? 0 : sizeOf(path, before);
    Iterator<Map.Entry<String, String>> oldest = deletedVersions.entrySet().iterator();
    while (deletedVersions.size() > MAX_DELETED_VERSIONS
        || deletedCharacters > MAX_DELETED_CHARACTERS) {
      Map.Entry<String, String> dropped = oldest.next();
      deletedCharacters -= sizeOf(dropped.getKey(), dropped.getValue());
      oldest.remove();
    }
  }

  @Override
  public Optional<String> document(String path) {
    return find(path).map(Entry::document);
  }

  @Override
  public List<String> pathsBelow(String prefix) {
    return new ArrayList<>(below(prefix).keySet());
  }

  @Override
  public Optional<String> openService(String name) {
    return Optional.ofNullable(openServices.get(name));
  }

  @Override
  public Optional<String> activeKey(String sha256) {
    return Optional.ofNullable(activeKeys.get(sha256));
  }

  @Override
  public Optional<String> deletedVersion(String path) {
    return Optional.ofNullable(deletedVersions.get(path));
  }

  private Map<String, Entry> below(String prefix) {
    // '0' follows '/', so the range holds exactly the paths that start with the prefix and a slash.
    return entries.subMap(prefix + "/", prefix + "0");
  }

  private void index(String path, String document) {
    indexKey(path, document).ifPresent(key -> key.map.put(key.name, path));
  }

  private void unindex(String path) {
    Entry entry = entries.get(path);
    if (entry != null) {
      indexKey(path, entry.document).ifPresent(key -> key.map.remove(key.name, path));
    }
  }

  private Optional<IndexKey> indexKey(String path, String document) {
    Optional<DocumentKind> kind = kind(path);
    if (kind.isEmpty()) {
      return Optional.empty();
    }
    return switch (kind.get()) {
      case SERVICE ->
          parse(document).path("open").asBoolean(false)
              ? Optional.of(new IndexKey(openServices, path.substring(path.lastIndexOf('/') + 1)))
              : Optional.empty();
      case KEY ->
          isActiveKey(document)
              ? Optional.of(new IndexKey(activeKeys, parse(document).path("sha256").asText()))
              : Optional.empty();
      default -> Optional.empty();
    };
  }

  private static int sizeOf(String path, String document) {
    return path.length() + document.length();
  }

  private static Optional<DocumentKind> kind(String path) {
    return SettingsPath.parse(path).flatMap(DocumentKind::of);
  }

  private static JsonNode parse(String document) {
    try {
      return Codec.MAPPER.readTree(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the settings tree holds a malformed document", e);
    }
  }

  private record IndexKey(Map<String, String> map, String name) {}
}
