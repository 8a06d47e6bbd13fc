package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.runtime.PeerProof;
import org.comfreygap.runtime.SharedKey;

/**
 * Messages between a gateway and a sidecar: length-prefixed frames, first those of the mutual
 * authentication, then one Thrift message each.
 *
 * <p>Invariant: no message is passed on before the peer has proved that it holds the shared key.
 * Thread safety: a channel's handlers run on its event loop.
 *
 * @since 0.2
 */
public final class PeerMessages extends ChannelInitializer<Channel> {

  private static final int MAX_FRAME_BYTES = 1024 * 1024;
  private static final int LENGTH_BYTES = 4;

  private final Side side;
  private final SharedKey key;
  private final Receiver receiver;

  /** Creates the pipeline of one side. */
  public PeerMessages(Side side, SharedKey key, Receiver receiver) {
    this.side = side;
    this.key = key;
    this.receiver = receiver;
  }

  /** Which side of the connection this is. */
  public enum Side {
    CLIENT,
    SERVER
  }

  /** Receives the events of the connection to a peer. */
  public interface Receiver {

    /** Called when the peer is authenticated; messages may be sent. */
    void opened(Channel channel);

    /** Called with a message of the peer. */
    void received(Channel channel, ResidencyMessage message);

    /** Called when the connection ended, even if it was never authenticated. */
    void closed(Channel channel, String reason);
  }

  /** Sends a message to a peer, see {@link #send(Collection, ResidencyMessage)}. */
  public static void send(Channel channel, ResidencyMessage message) {
    send(List.of(channel), message);
  }

  /**
   * Sends a message, serialized once for all of {@code channels}; the connection of a peer that
   * does not read is closed.
   */
  public static void send(Collection<Channel> channels, ResidencyMessage message) {
    byte[] bytes;
    try {
      bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(message);
    } catch (TException e) {
      throw new IllegalStateException("cannot serialize the message " + message, e);
    }
    for (Channel channel : channels) {
      if (channel.isWritable()) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
      } else {
        channel.close();
      }
    }
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            new LengthFieldPrepender(LENGTH_BYTES),
            new Peer());
  }

  private final class Peer extends SimpleChannelInboundHandler<ByteBuf> {

    private final byte[] ownNonce = PeerProof.newNonce();
    private Optional<byte[]> peerNonce = Optional.empty();
    private boolean authenticated;
    private String closeReason = "the connection was closed";

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (side == Side.CLIENT) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(ownNonce));
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      byte[] bytes = ByteBufUtil.getBytes(frame);
      if (!authenticated) {
        authenticate(ctx, bytes);
        return;
      }
      ResidencyMessage message = new ResidencyMessage();
      try {
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
      } catch (TException e) {
        end(ctx, "the peer sent a malformed message: " + e.getMessage());
        return;
      }
      receiver.received(ctx.channel(), message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      receiver.closed(ctx.channel(), closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(ctx, String.valueOf(cause));
    }

    private void authenticate(ChannelHandlerContext ctx, byte[] bytes) {
      if (peerNonce.isEmpty()) {
        peerNonce = Optional.of(bytes);
        ctx.writeAndFlush(
            Unpooled.wrappedBuffer(
                side == Side.CLIENT ? PeerProof.clientProof(key, ownNonce, bytes) : ownNonce));
        return;
      }
      byte[] theirs = peerNonce.get();
      boolean proved =
          side == Side.CLIENT
              ? PeerProof.verifyServerProof(key, bytes, ownNonce, theirs)
              : PeerProof.verifyClientProof(key, bytes, theirs, ownNonce);
      if (!proved) {
        end(ctx, "the peer does not hold the shared key");
        return;
      }
      authenticated = true;
      if (side == Side.SERVER) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(PeerProof.serverProof(key, theirs, ownNonce)));
      }
      receiver.opened(ctx.channel());
    }

    private void end(ChannelHandlerContext ctx, String reason) {
      closeReason = reason;
      ctx.close();
    }
  }
}
