package org.comfreygap.runtime;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.InvalidCall;
import org.comfreygap.protocol.generated.NotLeader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the control service that follows changes of its leader.
 *
 * <pre>{@code
 * HeartbeatReply reply = control.callLeader(Duration.ofSeconds(1), c -> c.heartbeat(request));
 * }</pre>
 *
 * <p>A failed call is retried within its time limit, so every call must be idempotent: calls that
 * change state carry a sequence number or an id, and control returns its first response to a
 * repeated one.
 *
 * <p>Invariants: a connection on which a call failed is closed and never reused; no call outlasts
 * {@link #close}. Thread safety: any thread may call; each call uses a connection of its own.
 *
 * @since 0.1
 */
public final class ControlClient implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(25);
  private static final Duration MAX_ATTEMPT_TIME = Duration.ofMillis(1_000);
  private static final int MAX_IDLE_PER_ADDRESS = 8;

  private final PeerSecurity security;
  private final Map<InetSocketAddress, Deque<ThriftConnection>> idle = new ConcurrentHashMap<>();
  // Sockets of the calls in progress, also while they connect.
  private final Set<Socket> inUse = ConcurrentHashMap.newKeySet();
  private final AtomicInteger rotation = new AtomicInteger();
  // Attempts since the last one that found what it asked for.
  private final AtomicInteger failures = new AtomicInteger();
  private volatile List<InetSocketAddress> addresses = List.of();
  private volatile List<InetSocketAddress> seeds;
  private volatile Optional<InetSocketAddress> leader = Optional.empty();
  private volatile boolean closed;

  /** Creates a client that finds the control instances through {@code seeds}. */
  public ControlClient(List<InetSocketAddress> seeds, PeerSecurity security) {
    this.seeds = List.copyOf(seeds);
    this.security = security;
  }

  /** A call to control on a connected client. */
  @FunctionalInterface
  public interface Call<R> {

    /** Makes the call and returns its response. */
    R invoke(ControlService.Client client) throws TException;
  }

  /** Replaces the addresses of the control instances, as control names them. */
  public void addresses(List<InetSocketAddress> replacement) {
    if (!replacement.isEmpty() && !replacement.equals(addresses)) {
      addresses = List.copyOf(replacement);
      forgetConnections();
    }
  }

  /**
   * Replaces the addresses given in the settings. They are called before control has named its
   * instances, and while none of those answers; some of them may be gone for good.
   */
  public void seeds(List<InetSocketAddress> replacement) {
    seeds = List.copyOf(replacement);
  }

  /** Returns the leader that responded to the last call; empty when none is known. */
  public Optional<InetSocketAddress> leader() {
    return leader;
  }

  /**
   * Calls the leader.
   *
   * @param timeout time limit over all attempts
   * @throws ControlUnavailableException when no leader responds in time or the call is invalid
   */
  public <R> R callLeader(Duration timeout, Call<R> call) throws ControlUnavailableException {
    return callLeader(timeout, MAX_ATTEMPT_TIME, call);
  }

  /**
   * Calls the leader, with a time limit on each attempt: a suspended leader does not respond, while
   * the other instances elect a new one within a few hundred milliseconds.
   *
   * @param timeout time limit over all attempts
   * @param maxAttemptTime time limit of one attempt
   * @throws ControlUnavailableException when no leader responds in time or the call is invalid
   */
  public <R> R callLeader(Duration timeout, Duration maxAttemptTime, Call<R> call)
      throws ControlUnavailableException {
    long deadline = System.nanoTime() + timeout.toNanos();
    Exception last = null;
    while (!closed) {
      long left = deadline - System.nanoTime();
      if (left <= 0) {
        break;
      }
      InetSocketAddress target = leader.orElseGet(this::nextAddress);
      Duration attemptTime = Duration.ofNanos(Math.min(left, maxAttemptTime.toNanos()));
      try {
        R response = attemptCall(target, attemptTime, call);
        leader = Optional.of(target);
        return response;
      } catch (NotLeader e) {
        last = e;
        leader = Optional.ofNullable(e.getLeaderAddress()).map(Addresses::parse);
        if (leader.isEmpty()) {
          failures.incrementAndGet();
        }
        if (leader.isEmpty() || leader.get().equals(target)) {
          leader = Optional.empty();
          pause(deadline);
        }
      } catch (InvalidCall e) {
        throw new ControlUnavailableException("control rejected the call: " + e.getMessage(), e);
      } catch (TException | IOException e) {
        last = e;
        leader = Optional.empty();
        pause(deadline);
      }
    }
    throw new ControlUnavailableException(
        closed
            ? "the client of control was closed"
            : "no control leader answered within " + timeout,
        last);
  }

  /**
   * Calls one control instance once; successive calls rotate through the instances.
   *
   * @throws ControlUnavailableException when it does not respond in time or the call is invalid
   */
  public <R> R callAny(Duration timeout, Call<R> call) throws ControlUnavailableException {
    InetSocketAddress target = nextAddress();
    return callAt(target, timeout, call);
  }

  /**
   * Calls the control instance at {@code target} once.
   *
   * @throws ControlUnavailableException when it does not respond in time or the call is invalid
   */
  public <R> R callAt(InetSocketAddress target, Duration timeout, Call<R> call)
      throws ControlUnavailableException {
    try {
      return attemptCall(target, timeout, call);
    } catch (TException | IOException e) {
      throw new ControlUnavailableException(
          closed
              ? "the client of control was closed"
              : "no response from " + Addresses.text(target),
          e);
    }
  }

  /** Returns the next address in rotation. */
  public InetSocketAddress nextAddress() {
    List<InetSocketAddress> known = addresses;
    if (failures.get() >= known.size()) {
      Set<InetSocketAddress> all = new LinkedHashSet<>(known);
      all.addAll(seeds);
      known = List.copyOf(all);
    }
    return known.get(Math.floorMod(rotation.getAndIncrement(), known.size()));
  }

  /** Returns true once {@link #close} was called; calls fail from then on. */
  boolean isClosed() {
    return closed;
  }

  /** Ends the calls in progress at once and refuses further ones. */
  @Override
  public void close() {
    closed = true;
    idle.values().forEach(ControlClient::closeAll);
    inUse.forEach(ControlClient::closeSocket);
  }

  private <R> R attemptCall(InetSocketAddress target, Duration timeout, Call<R> call)
      throws IOException, TException {
    ThriftConnection connection;
    try {
      connection = borrow(target, timeout);
    } catch (IOException e) {
      failures.incrementAndGet();
      throw e;
    }
    boolean healthy = false;
    try {
      R response = call.invoke(new ControlService.Client(connection.protocol()));
      healthy = true;
      failures.set(0);
      return response;
    } catch (NotLeader | InvalidCall e) {
      healthy = true;
      throw e;
    } finally {
      inUse.remove(connection.socket());
      if (healthy) {
        release(target, connection);
      } else {
        connection.close();
        failures.incrementAndGet();
        // A restarted or failed peer usually breaks all of its idle connections at once.
        closeAll(idle.computeIfAbsent(target, t -> new ArrayDeque<>()));
      }
    }
  }

  private ThriftConnection borrow(InetSocketAddress target, Duration timeout) throws IOException {
    Deque<ThriftConnection> pool = idle.computeIfAbsent(target, t -> new ArrayDeque<>());
    ThriftConnection connection;
    synchronized (pool) {
      connection = pool.pollFirst();
    }
    Socket socket = connection == null ? new Socket() : connection.socket();
    inUse.add(socket);
    try {
      // Checked after the socket was added: either this or close sees the other.
      if (closed) {
        throw new IOException("the client of control was closed");
      }
      if (connection == null) {
        return ThriftConnection.open(socket, target, security, timeout);
      }
      connection.timeout(timeout);
      return connection;
    } catch (IOException e) {
      inUse.remove(socket);
      closeSocket(socket);
      throw e;
    }
  }

  private void release(InetSocketAddress target, ThriftConnection connection) {
    Deque<ThriftConnection> pool = idle.computeIfAbsent(target, t -> new ArrayDeque<>());
    synchronized (pool) {
      if (!closed && pool.size() < MAX_IDLE_PER_ADDRESS) {
        pool.addFirst(connection);
        return;
      }
    }
    connection.close();
  }

  /** Closes idle connections to instances that are no longer named. */
  private void forgetConnections() {
    Set<InetSocketAddress> kept = new LinkedHashSet<>(addresses);
    kept.addAll(seeds);
    idle.entrySet()
        .removeIf(
            entry -> {
              boolean unused = !kept.contains(entry.getKey());
              if (unused) {
                closeAll(entry.getValue());
              }
              return unused;
            });
  }

  private static void closeAll(Deque<ThriftConnection> pool) {
    synchronized (pool) {
      pool.forEach(ThriftConnection::close);
      pool.clear();
    }
  }

  private static void closeSocket(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      LOG.debug("a connection to control was not closed in order", e);
    }
  }

  private static void pause(long deadline) {
    long nanos = Math.min(RETRY_PAUSE.toNanos(), deadline - System.nanoTime());
    if (nanos > 0) {
      try {
        Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
