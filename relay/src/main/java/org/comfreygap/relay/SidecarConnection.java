package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.protocol.generated.AdapterReply;
import org.comfreygap.protocol.generated.AdapterRequest;
import org.comfreygap.protocol.generated.AdapterUse;
import org.comfreygap.protocol.generated.ColdPermitReply;
import org.comfreygap.protocol.generated.ColdPermitRequest;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.PaceObservation;
import org.comfreygap.protocol.generated.ReadingPermitReply;
import org.comfreygap.protocol.generated.ReadingPermitRequest;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.protocol.generated.ResidentAdapter;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.SharedKey;

/**
 * The connection of this gateway to the sidecar beside an endpoint.
 *
 * <p>Invariant: every request gets exactly one reply; requests without a reply when the connection
 * ends are refused. Thread safety: used on the event loop only.
 */
final class SidecarConnection {

  /**
   * Pause before a reconnect; doubles with each refusal, since some endpoints have no sidecar, and
   * not while the host of a sidecar that was connected does not reply.
   */
  static final Duration MIN_RECONNECT_PAUSE = Duration.ofMillis(200);

  static final Duration MAX_RECONNECT_PAUSE = Duration.ofMillis(3_000);

  /** Time after which a request without a reply counts as refused. */
  static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_500);

  /**
   * Time after which a prompt is sent without leave: many round trips, and a small part of the time
   * in which a response should begin.
   */
  static final Duration READING_TIMEOUT = Duration.ofMillis(60);

  /** Time without a message after which a sidecar is gone; it sends several a second. */
  static final Duration INACTIVITY_TIMEOUT = Duration.ofMillis(2_000);

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final SharedKey key;
  private final EventLog events;
  private final Listener listener;
  private final Map<Long, Consumer<AdapterReply>> adapterReplies = new HashMap<>();
  private final Map<Long, Consumer<ColdPermitReply>> permitReplies = new HashMap<>();
  private final Map<Long, Consumer<Optional<ReadingPermitReply>>> readingReplies = new HashMap<>();
  private final Map<AdapterSlots.Name, List<Consumer<AdapterReply>>> pendingAdapters =
      new HashMap<>();
  private final Map<AdapterSlots.Name, Integer> openRequests = new HashMap<>();
  private Set<AdapterSlots.Name> reportedUse = Set.of();
  private Optional<Channel> channel = Optional.empty();
  private long reconnectPauseMillis = MIN_RECONNECT_PAUSE.toMillis();
  private long lastReceivedNanos;
  private long lastRequestNumber;
  private boolean openedBefore;
  private boolean closed;

  /** Creates a connection that is not open yet. */
  SidecarConnection(
      EventLoop loop,
      InetSocketAddress address,
      SharedKey key,
      EventLog events,
      Listener listener) {
    this.loop = loop;
    this.address = address;
    this.key = key;
    this.events = events;
    this.listener = listener;
  }

  /** Is notified of what the connection shows of the endpoint. */
  interface Listener {

    /** Called when a process accepts connections at the sidecar's address. */
    void accepted();

    /** Called with a status of the endpoint. */
    void statusReceived(EndpointStatus status);

    /** Called when the connection to an authenticated sidecar ended. */
    void lost();

    /** Called when the host replied that no process listens at the sidecar's address. */
    void refused();
  }

  /** Opens the connection, and reopens it whenever it ends. */
  void start() {
    connect();
  }

  boolean isConnected() {
    return channel.isPresent();
  }

  /** Returns true while a request for an adapter is open. */
  boolean isRequested(AdapterSlots.Name name) {
    return pendingAdapters.containsKey(name);
  }

  /** Requests an adapter; concurrent requests for the same one share the reply. */
  void requestAdapter(AdapterSlots.Name name, long minVersion, Consumer<AdapterReply> receiver) {
    if (channel.isEmpty()) {
      receiver.accept(refused("the sidecar is not connected"));
      return;
    }
    List<Consumer<AdapterReply>> receivers = pendingAdapters.get(name);
    if (receivers != null) {
      receivers.add(receiver);
      return;
    }
    List<Consumer<AdapterReply>> first = new ArrayList<>(List.of(receiver));
    pendingAdapters.put(name, first);
    long request = ++lastRequestNumber;
    adapterReplies.put(
        request,
        reply -> {
          pendingAdapters.remove(name);
          first.forEach(one -> one.accept(reply));
        });
    AdapterRequest message = new AdapterRequest(request, name.model(), name.adapter(), minVersion);
    send(ResidencyMessage.adapterRequest(message));
    scheduleTimeout(
        request, adapterReplies, REPLY_TIMEOUT, () -> refused("the sidecar did not reply in time"));
  }

  /**
   * Requests a permit to send one request to a cold endpoint.
   *
   * @param coldMillis remaining cold time as far as this gateway knows
   */
  void requestColdPermit(long coldMillis, Consumer<ColdPermitReply> receiver) {
    long request = ++lastRequestNumber;
    if (channel.isEmpty()) {
      receiver.accept(new ColdPermitReply(request, false, MIN_RECONNECT_PAUSE.toMillis()));
      return;
    }
    permitReplies.put(request, receiver);
    ColdPermitRequest message = new ColdPermitRequest(request);
    message.setColdMillis(coldMillis);
    send(ResidencyMessage.coldPermitRequest(message));
    scheduleTimeout(
        request,
        permitReplies,
        REPLY_TIMEOUT,
        () -> new ColdPermitReply(request, false, MIN_RECONNECT_PAUSE.toMillis()));
  }

  /**
   * Requests leave to send a prompt; the receiver gets nothing when there is no reply in time.
   *
   * @param message the request; its number is set here
   */
  void requestReading(
      ReadingPermitRequest message, Consumer<Optional<ReadingPermitReply>> receiver) {
    if (channel.isEmpty()) {
      receiver.accept(Optional.empty());
      return;
    }
    long request = ++lastRequestNumber;
    message.setNumber(request);
    readingReplies.put(request, receiver);
    send(ResidencyMessage.readingPermitRequest(message));
    scheduleTimeout(request, readingReplies, READING_TIMEOUT, Optional::empty);
  }

  /** Passes on the pace that the head of a response stated. */
  void paceSeen(int percent) {
    send(ResidencyMessage.paceObservation(new PaceObservation(percent)));
  }

  /**
   * Records that a request for an adapter is sent. An adapter that no request used before is
   * reported to the sidecar at once, since it may be about to unload it.
   *
   * @return callback to run once, when the request has ended
   */
  Runnable beginUse(AdapterSlots.Name name) {
    openRequests.merge(name, 1, Integer::sum);
    if (!reportedUse.contains(name)) {
      sendUse();
    }
    return () -> openRequests.computeIfPresent(name, (key, open) -> open > 1 ? open - 1 : null);
  }

  /** Reports the adapters in use to the sidecar; closes an inactive connection. */
  void tick(long nowNanos) {
    if (channel.isEmpty()) {
      return;
    }
    if (nowNanos - lastReceivedNanos > INACTIVITY_TIMEOUT.toNanos()) {
      channel.get().close();
      return;
    }
    sendUse();
  }

  void close() {
    closed = true;
    channel.ifPresent(Channel::close);
  }

  private void connect() {
    if (closed) {
      return;
    }
    Bootstrap bootstrap =
        ConnectionPool.withKeepAlive(new Bootstrap().group(loop).channel(NioSocketChannel.class))
            .handler(new PeerMessages(PeerMessages.Side.CLIENT, key, new Peer()));
    bootstrap
        .connect(address)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                listener.accepted();
              } else {
                connectFailed(done.cause());
              }
            });
  }

  private void connectFailed(Throwable cause) {
    if (isRefusal(cause)) {
      listener.refused();
    } else if (openedBefore) {
      // The endpoint is out of use until its sidecar is heard again.
      reconnectPauseMillis = MIN_RECONNECT_PAUSE.toMillis();
    }
    connectLater();
  }

  /** Returns true when the host replied that no process listens. */
  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void connectLater() {
    if (!closed) {
      LoopTasks.schedule(
          loop, events, "sidecar", Duration.ofMillis(reconnectPauseMillis), this::connect);
      reconnectPauseMillis = Math.min(2 * reconnectPauseMillis, MAX_RECONNECT_PAUSE.toMillis());
    }
  }

  private void send(ResidencyMessage message) {
    channel.ifPresent(open -> PeerMessages.send(open, message));
  }

  private void sendUse() {
    if (channel.isEmpty() || openRequests.keySet().equals(reportedUse)) {
      return;
    }
    reportedUse = Set.copyOf(openRequests.keySet());
    List<ResidentAdapter> names = new ArrayList<>();
    reportedUse.forEach(name -> names.add(new ResidentAdapter(name.model(), name.adapter(), 0)));
    send(ResidencyMessage.adapterUse(new AdapterUse(names)));
  }

  private <T> void scheduleTimeout(
      long request, Map<Long, Consumer<T>> open, Duration timeout, Supplier<T> fallback) {
    LoopTasks.schedule(
        loop,
        events,
        "sidecar-timeout",
        timeout,
        () -> {
          Consumer<T> receiver = open.remove(request);
          if (receiver != null) {
            receiver.accept(fallback.get());
          }
        });
  }

  private static AdapterReply refused(String reason) {
    AdapterReply reply = new AdapterReply(0, false);
    reply.setReason(reason);
    return reply;
  }

  private static <T> void deliver(Consumer<T> receiver, T reply) {
    if (receiver != null) {
      receiver.accept(reply);
    }
  }

  private final class Peer implements PeerMessages.Receiver {

    @Override
    public void opened(Channel opened) {
      if (closed) {
        opened.close();
        return;
      }
      channel = Optional.of(opened);
      openedBefore = true;
      reconnectPauseMillis = MIN_RECONNECT_PAUSE.toMillis();
      lastReceivedNanos = System.nanoTime();
      reportedUse = Set.of();
      sendUse();
      events.record(RelayEvent.SIDECAR_CONNECTED, Field.of("sidecar", address));
    }

    @Override
    public void received(Channel from, ResidencyMessage message) {
      lastReceivedNanos = System.nanoTime();
      if (message.isSetStatus()) {
        listener.statusReceived(message.getStatus());
      } else if (message.isSetAdapterReply()) {
        AdapterReply reply = message.getAdapterReply();
        deliver(adapterReplies.remove(reply.getNumber()), reply);
      } else if (message.isSetColdPermitReply()) {
        ColdPermitReply reply = message.getColdPermitReply();
        deliver(permitReplies.remove(reply.getNumber()), reply);
      } else if (message.isSetReadingPermitReply()) {
        ReadingPermitReply reply = message.getReadingPermitReply();
        deliver(readingReplies.remove(reply.getNumber()), Optional.of(reply));
      }
    }

    @Override
    public void closed(Channel ended, String reason) {
      if (channel.isPresent() && channel.get() == ended) {
        channel = Optional.empty();
        events.record(
            RelayEvent.SIDECAR_LOST, Field.of("sidecar", address), Field.of("cause", reason));
        List<Consumer<AdapterReply>> adapters = new ArrayList<>(adapterReplies.values());
        List<Consumer<ColdPermitReply>> permits = new ArrayList<>(permitReplies.values());
        adapterReplies.clear();
        permitReplies.clear();
        List<Consumer<Optional<ReadingPermitReply>>> reading =
            new ArrayList<>(readingReplies.values());
        readingReplies.clear();
        listener.lost();
        adapters.forEach(one -> one.accept(refused("the connection to the sidecar was lost")));
        permits.forEach(
            one -> one.accept(new ColdPermitReply(0, false, MIN_RECONNECT_PAUSE.toMillis())));
        reading.forEach(one -> one.accept(Optional.empty()));
      }
      connectLater();
    }
  }
}
