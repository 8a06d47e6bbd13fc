package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the small HTTP server through a caller's socket.
 *
 * <p>Guards against a connection that is closed while the caller sends a body, a response to an
 * incomplete request, and a body that is taken for the next request.
 */
class PlainHttpServerTest {

  private static final int TIMEOUT_MILLIS = 10_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final List<String> requestedPaths = new CopyOnWriteArrayList<>();
  private final Channel server =
      PlainHttpServer.start(
          group,
          new InetSocketAddress("127.0.0.1", 0),
          path -> {
            requestedPaths.add(path);
            return PlainHttpServer.Page.redirect("http://10.0.0.4:8229" + path);
          });

  @AfterEach
  void stop() {
    server.close().awaitUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Test
  void respondsAfterACompleteChunkedBody() throws IOException {
    String responses =
        send(
            "PUT /config HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "5\r\nhello\r\n0\r\n\r\n"
                + "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");

    assertThat(requestedPaths).containsExactly("/config", "/second");
    assertThat(responses)
        .contains("307 Temporary Redirect")
        .containsIgnoringCase("location: http://10.0.0.4:8229/config")
        .containsIgnoringCase("location: http://10.0.0.4:8229/second");
  }

  @Test
  void sendsNoResponseToAnIncompleteRequest() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port())) {
      socket
          .getOutputStream()
          .write(bytes("PUT /config HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"));
      socket.shutdownOutput();
      socket.setSoTimeout(TIMEOUT_MILLIS);

      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(requestedPaths).isEmpty();
  }

  @Test
  void closesConnectionAfterAMalformedRequest() throws IOException {
    assertThat(send("no request at all\r\n\r\n")).doesNotContain("200");
  }

  private int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Sends bytes and returns the data received until the server closes. */
  private String send(String text) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes(text));
      ByteArrayOutputStream responses = new ByteArrayOutputStream();
      socket.getInputStream().transferTo(responses);
      return responses.toString(StandardCharsets.UTF_8);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
