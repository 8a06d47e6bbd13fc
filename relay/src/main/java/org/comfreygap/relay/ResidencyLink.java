package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.protocol.generated.AdapterReply;
import org.comfreygap.protocol.generated.AdapterRequest;
import org.comfreygap.protocol.generated.AdapterUse;
import org.comfreygap.protocol.generated.ColdPermitReply;
import org.comfreygap.protocol.generated.ColdPermitRequest;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.protocol.generated.ResidentAdapter;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.SharedKey;

/**
 * The connection of this gateway to the sidecar beside an endpoint.
 *
 * <p>Invariant: every request gets exactly one reply; those without an answer when the connection
 * ends are answered as refused. Thread safety: used on the event loop only.
 */
final class ResidencyLink {

  /** Pause before a new try; doubles with each failure, since some endpoints have no sidecar. */
  static final Duration FIRST_PAUSE = Duration.ofMillis(200);

  static final Duration LONGEST_PAUSE = Duration.ofMillis(3_000);

  /** Time after which a request without an answer counts as refused. */
  static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_500);

  /** A sidecar that says nothing for this long is gone; it speaks several times a second. */
  static final Duration SILENCE = Duration.ofMillis(2_000);

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final SharedKey key;
  private final EventLog events;
  private final Consumer<EndpointStatus> onStatus;
  private final Runnable onLost;
  private final Map<Long, Consumer<AdapterReply>> adapterReplies = new HashMap<>();
  private final Map<Long, Consumer<ColdPermitReply>> permitReplies = new HashMap<>();
  private final Map<AdapterSlots.Name, List<Consumer<AdapterReply>>> wanted = new HashMap<>();
  private final Map<AdapterSlots.Name, Integer> openRequests = new HashMap<>();
  private Set<AdapterSlots.Name> told = Set.of();
  private Optional<Channel> channel = Optional.empty();
  private long pauseMillis = FIRST_PAUSE.toMillis();
  private long heardNanos;
  private long number;
  private boolean closed;

  ResidencyLink(
      EventLoop loop,
      InetSocketAddress address,
      SharedKey key,
      EventLog events,
      Consumer<EndpointStatus> onStatus,
      Runnable onLost) {
    this.loop = loop;
    this.address = address;
    this.key = key;
    this.events = events;
    this.onStatus = onStatus;
    this.onLost = onLost;
  }

  /** Opens the connection, and opens it again whenever it ends. */
  void start() {
    connect();
  }

  boolean connected() {
    return channel.isPresent();
  }

  /** Returns true while a request for an adapter is open. */
  boolean asked(AdapterSlots.Name name) {
    return wanted.containsKey(name);
  }

  /** Asks for an adapter; requests for the same one share the answer. */
  void require(AdapterSlots.Name name, long leastVersion, Consumer<AdapterReply> receiver) {
    if (channel.isEmpty()) {
      receiver.accept(refused("the sidecar is not connected"));
      return;
    }
    List<Consumer<AdapterReply>> receivers = wanted.get(name);
    if (receivers != null) {
      receivers.add(receiver);
      return;
    }
    List<Consumer<AdapterReply>> first = new ArrayList<>(List.of(receiver));
    wanted.put(name, first);
    long request = ++number;
    adapterReplies.put(
        request,
        reply -> {
          wanted.remove(name);
          first.forEach(one -> one.accept(reply));
        });
    AdapterRequest message =
        new AdapterRequest(request, name.model(), name.adapter(), leastVersion);
    send(ResidencyMessage.adapterRequest(message));
    expire(request, adapterReplies, () -> refused("the sidecar did not answer in time"));
  }

  /**
   * Asks for leave to send one request to a cold endpoint.
   *
   * @param coldMillis time for which this gateway takes it for cold
   */
  void permit(long coldMillis, Consumer<ColdPermitReply> receiver) {
    long request = ++number;
    if (channel.isEmpty()) {
      receiver.accept(new ColdPermitReply(request, false, FIRST_PAUSE.toMillis()));
      return;
    }
    permitReplies.put(request, receiver);
    ColdPermitRequest message = new ColdPermitRequest(request);
    message.setColdMillis(coldMillis);
    send(ResidencyMessage.coldPermitRequest(message));
    expire(
        request, permitReplies, () -> new ColdPermitReply(request, false, FIRST_PAUSE.toMillis()));
  }

  /**
   * Records that a request for an adapter is sent. The sidecar learns at once of an adapter that no
   * request used before, since it may be about to unload it.
   *
   * @return to be run once, when the request has ended
   */
  Runnable using(AdapterSlots.Name name) {
    openRequests.merge(name, 1, Integer::sum);
    if (!told.contains(name)) {
      tellUse();
    }
    return () -> openRequests.computeIfPresent(name, (key, open) -> open > 1 ? open - 1 : null);
  }

  /** Tells the sidecar which adapters are in use; ends a connection that went silent. */
  void tick(long nowNanos) {
    if (channel.isEmpty()) {
      return;
    }
    if (nowNanos - heardNanos > SILENCE.toNanos()) {
      channel.get().close();
      return;
    }
    tellUse();
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
        Connections.withKeepAlive(new Bootstrap().group(loop).channel(NioSocketChannel.class))
            .handler(new PeerMessages(PeerMessages.Side.CLIENT, key, new Peer()));
    bootstrap
        .connect(address)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                connectLater();
              }
            });
  }

  private void connectLater() {
    if (!closed) {
      loop.schedule(this::connect, pauseMillis, TimeUnit.MILLISECONDS);
      pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE.toMillis());
    }
  }

  private void send(ResidencyMessage message) {
    channel.ifPresent(open -> PeerMessages.send(open, message));
  }

  private void tellUse() {
    if (channel.isEmpty() || openRequests.keySet().equals(told)) {
      return;
    }
    told = Set.copyOf(openRequests.keySet());
    List<ResidentAdapter> names = new ArrayList<>();
    told.forEach(name -> names.add(new ResidentAdapter(name.model(), name.adapter(), 0)));
    send(ResidencyMessage.adapterUse(new AdapterUse(names)));
  }

  private <T> void expire(long request, Map<Long, Consumer<T>> open, Supplier<T> answer) {
    loop.schedule(
        () -> {
          Consumer<T> receiver = open.remove(request);
          if (receiver != null) {
            receiver.accept(answer.get());
          }
        },
        REPLY_TIMEOUT.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private static AdapterReply refused(String reason) {
    AdapterReply reply = new AdapterReply(0, false);
    reply.setReason(reason);
    return reply;
  }

  private static <T> void answer(Consumer<T> receiver, T reply) {
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
      pauseMillis = FIRST_PAUSE.toMillis();
      heardNanos = System.nanoTime();
      told = Set.of();
      tellUse();
      events.record(RelayEvent.SIDECAR_CONNECTED, Field.of("sidecar", address));
    }

    @Override
    public void received(Channel from, ResidencyMessage message) {
      heardNanos = System.nanoTime();
      if (message.isSetStatus()) {
        onStatus.accept(message.getStatus());
      } else if (message.isSetAdapterReply()) {
        AdapterReply reply = message.getAdapterReply();
        answer(adapterReplies.remove(reply.getNumber()), reply);
      } else if (message.isSetColdPermitReply()) {
        ColdPermitReply reply = message.getColdPermitReply();
        answer(permitReplies.remove(reply.getNumber()), reply);
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
        onLost.run();
        adapters.forEach(one -> one.accept(refused("the sidecar is lost")));
        permits.forEach(one -> one.accept(new ColdPermitReply(0, false, FIRST_PAUSE.toMillis())));
      }
      connectLater();
    }
  }
}
