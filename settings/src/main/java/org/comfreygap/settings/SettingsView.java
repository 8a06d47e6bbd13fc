package org.comfreygap.settings;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.settings.Documents.Adapter;
import org.comfreygap.settings.Documents.AdapterVersion;
import org.comfreygap.settings.Documents.AnnouncedVersion;
import org.comfreygap.settings.Documents.Customer;
import org.comfreygap.settings.Documents.Endpoint;
import org.comfreygap.settings.Documents.Key;
import org.comfreygap.settings.Documents.KeyPolicy;
import org.comfreygap.settings.Documents.KeyState;
import org.comfreygap.settings.Documents.Limits;
import org.comfreygap.settings.Documents.Pool;
import org.comfreygap.settings.Documents.Publication;
import org.comfreygap.settings.Documents.RequestLimits;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.Documents.Scaling;
import org.comfreygap.settings.Documents.ServiceRoute;
import org.comfreygap.settings.Documents.StoreLimits;
import org.comfreygap.settings.Documents.Zone;
import org.comfreygap.settings.Documents.ZoneState;

/**
 * The typed and indexed settings tree at one revision.
 *
 * <pre>{@code
 * SettingsView view = SettingsView.empty().with(reply.getChanges(), reply.getRevision());
 * Optional<Documents.Key> key = view.activeKey(sha256);
 * }</pre>
 *
 * <p>Invariant: {@link #with} never returns a view with a lower revision. Thread safety: immutable;
 * a change copies only the indexes that it touches.
 *
 * @since 0.1
 */
public final class SettingsView {

  private static final SettingsView EMPTY = new SettingsView(0, Map.of());

  private final long revision;
  private final Map<DocumentKind, Map<String, Object>> documents;
  private final Map<String, Key> keysByHash;

  private SettingsView(long revision, Map<DocumentKind, Map<String, Object>> documents) {
    this(revision, documents, indexKeys(documents));
  }

  private SettingsView(
      long revision,
      Map<DocumentKind, Map<String, Object>> documents,
      Map<String, Key> keysByHash) {
    this.revision = revision;
    this.documents = documents;
    this.keysByHash = keysByHash;
  }

  /** Returns the view of the empty tree at revision 0. */
  public static SettingsView empty() {
    return EMPTY;
  }

  /**
   * Returns the view of a snapshot that holds the whole tree.
   *
   * @throws IllegalArgumentException when a document does not match its schema
   */
  public static SettingsView snapshot(List<Change> changes, long revision) {
    return EMPTY.with(changes, revision);
  }

  /**
   * Returns the view after {@code changes}, which result in {@code newRevision}.
   *
   * @throws IllegalArgumentException when {@code newRevision} is below this revision or a document
   *     does not match its schema
   */
  public SettingsView with(List<Change> changes, long newRevision) {
    if (newRevision < revision) {
      throw new IllegalArgumentException(
          "given revision " + newRevision + ", expected at least " + revision);
    }
    Map<DocumentKind, Map<String, Object>> next = new HashMap<>(documents);
    Map<DocumentKind, Map<String, Object>> copied = new HashMap<>();
    for (Change change : changes) {
      SettingsPath path =
          SettingsPath.parse(change.getPath())
              .orElseThrow(
                  () ->
                      new IllegalArgumentException(
                          "given " + change.getPath() + ", expected a path"));
      Optional<DocumentKind> kind = DocumentKind.of(path);
      if (kind.isEmpty()) {
        continue;
      }
      Map<String, Object> index =
          copied.computeIfAbsent(
              kind.get(), k -> new HashMap<>(documents.getOrDefault(k, Map.of())));
      String id = DocumentReader.id(kind.get(), path);
      if (change.getKind() == ChangeKind.DELETE) {
        index.remove(id);
      } else {
        index.put(id, DocumentReader.read(kind.get(), path, change.getDocument()));
      }
    }
    next.putAll(copied);
    return copied.containsKey(DocumentKind.KEY)
        ? new SettingsView(newRevision, next)
        : new SettingsView(newRevision, next, keysByHash);
  }

  /** Returns the revision of the tree. */
  public long revision() {
    return revision;
  }

  /** Returns the active key with the given lower-case hexadecimal SHA-256. */
  public Optional<Key> activeKey(String sha256) {
    return Optional.ofNullable(keysByHash.get(sha256));
  }

  /** Returns true when {@code keyId} of {@code customer} exists and is active. */
  public boolean isKeyActive(String customer, String keyId) {
    return this.<Key>find(DocumentKind.KEY, customer + "/" + keyId)
        .filter(key -> key.state() == KeyState.ACTIVE)
        .isPresent();
  }

  /** Returns the customer with id {@code team/customer}. */
  public Optional<Customer> customer(String id) {
    return find(DocumentKind.CUSTOMER, id);
  }

  /** Returns the limits of the customer with id {@code team/customer}. */
  public Optional<Limits> limits(String customer) {
    return find(DocumentKind.LIMITS, customer);
  }

  /** Returns the adapter with id {@code team/adapter}. */
  public Optional<Adapter> adapter(String id) {
    return find(DocumentKind.ADAPTER, id);
  }

  /** Returns a version of the adapter with id {@code team/adapter}. */
  public Optional<AdapterVersion> adapterVersion(String adapter, String version) {
    return find(DocumentKind.ADAPTER_VERSION, adapter + "@" + version);
  }

  /** Returns the service with id {@code team/service}. */
  public Optional<ServiceRoute> service(String id) {
    return find(DocumentKind.SERVICE, id);
  }

  /** Returns the service named {@code name} that is open to callers without a key. */
  public Optional<ServiceRoute> openService(String name) {
    return this.<ServiceRoute>all(DocumentKind.SERVICE).stream()
        .filter(service -> service.open() && service.id().endsWith("/" + name))
        .findFirst();
  }

  /** Returns the endpoint named {@code name}. */
  public Optional<Endpoint> endpoint(String name) {
    return find(DocumentKind.ENDPOINT, name);
  }

  /** Returns all endpoints. */
  public Collection<Endpoint> endpoints() {
    return all(DocumentKind.ENDPOINT);
  }

  /** Returns all availability zones. */
  public Collection<Zone> zones() {
    return all(DocumentKind.ZONE);
  }

  /** Returns true unless the zone named {@code name} is taken out of service. */
  public boolean zoneIn(String name) {
    return this.<Zone>find(DocumentKind.ZONE, name)
        .map(zone -> zone.state() == ZoneState.IN)
        .orElse(true);
  }

  /** Returns the limits of the weight store, or empty when none are set. */
  public Optional<StoreLimits> storeLimits() {
    return find(DocumentKind.STORE, DocumentReader.STORE_ID);
  }

  /** Returns all routes. */
  public Collection<Route> routes() {
    return all(DocumentKind.ROUTE);
  }

  /** Returns the pool of endpoints named {@code name}. */
  public Optional<Pool> pool(String name) {
    return find(DocumentKind.POOL, name);
  }

  /** Returns all pools of endpoints. */
  public Collection<Pool> pools() {
    return all(DocumentKind.POOL);
  }

  /**
   * Returns the bounds of the pools whose number of endpoints is ordered.
   *
   * @since 0.8
   */
  public Collection<Scaling> scaling() {
    return all(DocumentKind.SCALING);
  }

  /** Returns the bounds on the requests of callers, or empty when none are set. */
  public Optional<RequestLimits> requestLimits() {
    return find(DocumentKind.REQUEST_LIMITS, DocumentReader.REQUEST_LIMITS_ID);
  }

  /** Returns the published version of the routing tables, or empty when none was published. */
  public Optional<Publication> publication() {
    return find(DocumentKind.PUBLICATION, DocumentReader.PUBLICATION_ID);
  }

  /** Returns the newest announced versions of adapters. */
  public Collection<AnnouncedVersion> announcedVersions() {
    return all(DocumentKind.ANNOUNCED_VERSION);
  }

  /**
   * Returns true when requests need a key: there are customers, or the routing tables say so
   * although there are none, since the keys of the last one were withdrawn.
   */
  public boolean requiresKeys() {
    return !all(DocumentKind.CUSTOMER).isEmpty()
        || this.<KeyPolicy>find(DocumentKind.KEY_POLICY, DocumentReader.KEY_POLICY_ID)
            .filter(KeyPolicy::required)
            .isPresent();
  }

  /** Returns the limits of all customers that have any. */
  public Collection<Limits> allLimits() {
    return all(DocumentKind.LIMITS);
  }

  @SuppressWarnings("unchecked")
  private <T> Optional<T> find(DocumentKind kind, String id) {
    return Optional.ofNullable((T) documents.getOrDefault(kind, Map.of()).get(id));
  }

  @SuppressWarnings("unchecked")
  private <T> Collection<T> all(DocumentKind kind) {
    return (Collection<T>) documents.getOrDefault(kind, Map.of()).values();
  }

  private static Map<String, Key> indexKeys(Map<DocumentKind, Map<String, Object>> documents) {
    Map<String, Key> index = new HashMap<>();
    for (Object document : documents.getOrDefault(DocumentKind.KEY, Map.of()).values()) {
      Key key = (Key) document;
      if (key.state() == KeyState.ACTIVE) {
        index.put(key.sha256(), key);
      }
    }
    return index;
  }
}
