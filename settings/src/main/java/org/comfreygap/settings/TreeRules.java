package org.comfreygap.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Consistency rules between the documents of the settings tree. A check reports all faults at once.
 *
 * <pre>{@code
 * List<Fault> faults = TreeRules.check(tree, Map.of(path, Optional.of(json)));
 * }</pre>
 *
 * <p>Invariant: changes without faults preserve the rules of a tree that satisfies them. Thread
 * safety: stateless.
 *
 * @since 0.1
 */
public final class TreeRules {

  /** Maximum number of faults that one check reports. */
  public static final int MAX_FAULTS = 100;

  /** Maximum size of a document in bytes of JSON. */
  public static final int MAX_DOCUMENT_BYTES = 16 * 1024;

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ENDPOINTS = "/platform/endpoints";
  private static final String ROUTES = "/routing/routes";
  private static final String POOLS = "/routing/pools";
  private static final String SCALING = "/routing/scaling";

  private final Tree before;
  private final Map<String, Optional<JsonNode>> changes = new HashMap<>();
  private final Map<String, DocumentKind> kinds = new HashMap<>();
  private final List<Fault> faults = new ArrayList<>();

  private TreeRules(Tree before) {
    this.before = before;
  }

  /** The tree before a change. */
  public interface Tree {

    /** Returns the JSON document at {@code path}. */
    Optional<String> document(String path);

    /** Returns the paths that lie below {@code prefix}, without {@code prefix} itself. */
    List<String> pathsBelow(String prefix);

    /** Returns the path of the open service with the given last name. */
    Optional<String> openService(String name);

    /** Returns the path of the active key with the given hash. */
    Optional<String> activeKey(String sha256);

    /** Returns the last document of a deleted adapter version. */
    Optional<String> deletedVersion(String path);
  }

  /**
   * Checks one document against its path and schema only.
   *
   * @param document the document, or null when it is missing
   */
  public static List<Fault> checkDocument(String path, JsonNode document) {
    Optional<DocumentKind> kind = SettingsPath.parse(path).flatMap(DocumentKind::of);
    if (kind.isEmpty()) {
      return List.of(unknownPath(path));
    }
    if (document != null && document.toString().length() > MAX_DOCUMENT_BYTES) {
      String given = "a document of " + document.toString().length() + " characters";
      return List.of(new Fault(path, given, "at most " + MAX_DOCUMENT_BYTES));
    }
    List<Fault> found = new ArrayList<>(kind.get().schema().check(path, document));
    if (kind.get() == DocumentKind.ENDPOINT && document != null) {
      checkTarget(path, document, found);
    }
    if (kind.get() == DocumentKind.SCALING && found.isEmpty()) {
      checkNumbers(path, document, found);
    }
    return found;
  }

  /**
   * Checks the references between documents after {@code changes}; an empty value deletes. The
   * documents must have passed {@link #checkDocument}.
   */
  public static List<Fault> check(Tree before, Map<String, Optional<String>> changes) {
    TreeRules rules = new TreeRules(before);
    changes.forEach(rules::read);
    rules.kinds.forEach(
        (path, kind) -> {
          Optional<JsonNode> document = rules.changes.get(path);
          if (document.isPresent()) {
            rules.checkPut(kind, path, document.get());
          } else {
            rules.checkDelete(kind, path);
          }
        });
    rules.checkRoutes();
    return rules.faults.size() <= MAX_FAULTS ? rules.faults : rules.faults.subList(0, MAX_FAULTS);
  }

  private void read(String path, Optional<String> document) {
    Optional<DocumentKind> kind = SettingsPath.parse(path).flatMap(DocumentKind::of);
    if (kind.isEmpty()) {
      faults.add(unknownPath(path));
      return;
    }
    try {
      changes.put(path, document.isEmpty() ? Optional.empty() : Optional.of(parse(document.get())));
      kinds.put(path, kind.get());
    } catch (JsonProcessingException e) {
      faults.add(new Fault(path, "a malformed document", "JSON"));
    }
  }

  private void checkPut(DocumentKind kind, String path, JsonNode document) {
    switch (kind) {
      case LIMITS -> requireParent(path, 1, "customer");
      case KEY -> {
        requireParent(path, 2, "customer");
        checkKey(path, document);
      }
      case ADAPTER_VERSION -> {
        requireParent(path, 2, "adapter");
        checkImmutable(path, document);
      }
      case SERVICE -> checkService(path, document);
      case ENDPOINT -> checkEndpoint(path, document);
      case SCALING -> {
        String pool = POOLS + "/" + lastName(path);
        if (!exists(pool)) {
          faults.add(new Fault(path, "no pool", "an existing pool at " + pool));
        }
      }
      default -> {
        // Documents of the other kinds refer to no other document.
      }
    }
  }

  private void checkDelete(DocumentKind kind, String path) {
    switch (kind) {
      case CUSTOMER, ADAPTER -> {
        for (String child : before.pathsBelow(path)) {
          if (exists(child)) {
            faults.add(new Fault(path, "a deletion", child + " to be deleted as well"));
          }
        }
      }
      case ZONE -> checkUnused(path, "zone", lastName(path));
      case POOL -> {
        String scaling = SCALING + "/" + lastName(path);
        if (exists(scaling)) {
          faults.add(new Fault(path, "a deletion", scaling + " to be deleted as well"));
        }
      }
      case SERVICE -> checkUnused(path, "service", teamName(path) + "/" + lastName(path));
      default -> {
        // No document refers to the other kinds.
      }
    }
  }

  private void requireParent(String path, int levels, String kind) {
    String parent = path;
    for (int i = 0; i < levels; i++) {
      parent = parent.substring(0, parent.lastIndexOf('/'));
    }
    if (!exists(parent)) {
      faults.add(new Fault(path, "no " + kind, "an existing " + kind + " at " + parent));
    }
  }

  private void checkImmutable(String path, JsonNode document) {
    Optional<String> written = before.document(path).or(() -> before.deletedVersion(path));
    if (written.isPresent() && !sameJson(written.get(), document)) {
      faults.add(
          new Fault(
              path,
              FieldRule.given(document),
              "the document first written, " + written.get() + "; a version is immutable"));
    }
  }

  private void checkKey(String path, JsonNode document) {
    if (!isActive(document)) {
      return;
    }
    String hash = document.path("sha256").asText();
    findOtherOwner(
            path,
            DocumentKind.KEY,
            before.activeKey(hash),
            d -> isActive(d) && hash.equals(hash(d)))
        .ifPresent(
            other ->
                faults.add(
                    new Fault(path + ":sha256", "the hash of the key at " + other, "a new key")));
  }

  private void checkService(String path, JsonNode document) {
    if (!document.path("open").asBoolean(false)) {
      return;
    }
    String name = lastName(path);
    findOtherOwner(
            path,
            DocumentKind.SERVICE,
            before.openService(name),
            d -> d.path("open").asBoolean(false))
        .filter(other -> lastName(other).equals(name))
        .ifPresent(
            other ->
                faults.add(
                    new Fault(
                        path + ":open", "true", "false, since " + other + " is open as " + name)));
  }

  private void checkEndpoint(String path, JsonNode document) {
    String zone = document.path("zone").asText();
    if (!exists("/platform/zones/" + zone)) {
      faults.add(new Fault(path + ":zone", zone, "an existing zone at /platform/zones/" + zone));
    }
    String service = document.path("service").asText("");
    int slash = service.indexOf('/');
    if (slash > 0) {
      String servicePath =
          "/teams/" + service.substring(0, slash) + "/services/" + service.substring(slash + 1);
      if (!exists(servicePath)) {
        faults.add(new Fault(path + ":service", service, "an existing service at " + servicePath));
      }
    }
  }

  /** Checks all routes together when a route or a pool changes. */
  private void checkRoutes() {
    boolean routingChanged =
        kinds.values().stream()
            .anyMatch(kind -> kind == DocumentKind.ROUTE || kind == DocumentKind.POOL);
    if (!routingChanged) {
      return;
    }
    Set<String> paths = new TreeSet<>(before.pathsBelow(ROUTES));
    changes.keySet().stream().filter(path -> path.startsWith(ROUTES + "/")).forEach(paths::add);
    Map<String, String> routeByHostAndPrefix = new HashMap<>();
    for (String path : paths) {
      documentAfter(path).ifPresent(route -> checkRoute(path, route, routeByHostAndPrefix));
    }
  }

  private void checkRoute(String path, JsonNode route, Map<String, String> routeByHostAndPrefix) {
    double weights = 0;
    for (JsonNode target : route.path("targets")) {
      String pool = POOLS + "/" + target.path("pool").asText();
      weights += target.path("weight").asDouble();
      if (!exists(pool)) {
        faults.add(new Fault(path + ":targets", pool, "an existing pool"));
      }
    }
    if (weights <= 0) {
      faults.add(new Fault(path + ":targets", "weights with a sum of 0", "a weight above 0"));
    }
    String hostAndPrefix = route.path("host").asText() + route.path("pathPrefix").asText();
    String other = routeByHostAndPrefix.putIfAbsent(hostAndPrefix, path);
    if (other != null) {
      faults.add(new Fault(path, "the host and path prefix of " + other, "a unique pair"));
    }
  }

  private void checkUnused(String path, String field, String value) {
    for (String endpoint : before.pathsBelow(ENDPOINTS)) {
      if (documentAfter(endpoint).filter(d -> d.path(field).asText().equals(value)).isPresent()) {
        faults.add(new Fault(path, "a deletion", "no reference from " + endpoint + ":" + field));
      }
    }
  }

  private Optional<String> findOtherOwner(
      String path,
      DocumentKind kind,
      Optional<String> ownerBefore,
      java.util.function.Predicate<JsonNode> owns) {
    Optional<String> kept =
        ownerBefore.filter(owner -> !owner.equals(path) && !changes.containsKey(owner));
    if (kept.isPresent()) {
      return kept;
    }
    return changes.entrySet().stream()
        .filter(change -> !change.getKey().equals(path) && kinds.get(change.getKey()) == kind)
        .filter(change -> change.getValue().filter(owns).isPresent())
        .map(Map.Entry::getKey)
        .filter(other -> kind != DocumentKind.SERVICE || lastName(other).equals(lastName(path)))
        .sorted()
        .findFirst();
  }

  private boolean exists(String path) {
    Optional<JsonNode> change = changes.get(path);
    return change != null ? change.isPresent() : before.document(path).isPresent();
  }

  private Optional<JsonNode> documentAfter(String path) {
    Optional<JsonNode> change = changes.get(path);
    if (change != null) {
      return change;
    }
    return before
        .document(path)
        .map(
            json -> {
              try {
                return parse(json);
              } catch (JsonProcessingException e) {
                throw new IllegalStateException("the tree holds a malformed document: " + path, e);
              }
            });
  }

  private static void checkTarget(String path, JsonNode document, List<Fault> found) {
    boolean service = document.path("kind").asText().equals("service");
    String requiredField = service ? "service" : "baseModel";
    if (!document.path(requiredField).isTextual()) {
      String expected = "a value, since kind is " + document.path("kind").asText();
      found.add(new Fault(path + ":" + requiredField, "nothing", expected));
    }
  }

  private static void checkNumbers(String path, JsonNode document, List<Fault> found) {
    long min = document.get("min").asLong();
    long max = document.get("max").asLong();
    if (min > max) {
      found.add(new Fault(path + ":min", String.valueOf(min), "at most max, which is " + max));
    }
  }

  private static Fault unknownPath(String path) {
    return new Fault(path, "a path of no known kind", "a path of the settings tree");
  }

  private static boolean isActive(JsonNode key) {
    return key.path("state").asText().equals("active");
  }

  private static String hash(JsonNode key) {
    return key.path("sha256").asText();
  }

  private static boolean sameJson(String json, JsonNode document) {
    try {
      return parse(json).equals(document);
    } catch (JsonProcessingException e) {
      return false;
    }
  }

  private static JsonNode parse(String json) throws JsonProcessingException {
    return MAPPER.readTree(json);
  }

  private static String lastName(String path) {
    return path.substring(path.lastIndexOf('/') + 1);
  }

  private static String teamName(String path) {
    return path.split("/", 4)[2];
  }

  /** Returns a tree without documents. */
  public static Tree emptyTree() {
    return EmptyTree.INSTANCE;
  }

  private enum EmptyTree implements Tree {
    INSTANCE;

    @Override
    public Optional<String> document(String path) {
      return Optional.empty();
    }

    @Override
    public List<String> pathsBelow(String prefix) {
      return List.of();
    }

    @Override
    public Optional<String> openService(String name) {
      return Optional.empty();
    }

    @Override
    public Optional<String> activeKey(String sha256) {
      return Optional.empty();
    }

    @Override
    public Optional<String> deletedVersion(String path) {
      return Optional.empty();
    }
  }
}
