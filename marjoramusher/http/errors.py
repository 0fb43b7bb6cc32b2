"""Middleware that converts exceptions to error responses."""

from aiohttp import typedefs, web

from ..core import codec, errors
from ..telemetry import log, metrics

CONTENT_TYPE = "application/json"
REQUEST_ID_HEADER = "X-Request-Id"
# Handlers store the request id under this key as soon as it exists.
REQUEST_ID = web.RequestKey("request_id", str)

_CODE_BY_STATUS = {
    401: errors.ErrorCode.UNAUTHORIZED,
    404: errors.ErrorCode.NOT_FOUND,
    413: errors.ErrorCode.BODY_TOO_LARGE,
}


def make_middleware(metrics_registry: metrics.Metrics) -> typedefs.Middleware:
    """Create the middleware that responds to exceptions with ``{"error": ErrorBody}``.

    It should be the outermost middleware. An exception after the first byte of a
    response aborts the connection, so that a truncated response never looks complete.
    An error response has the id that the handler stored in the request under
    `REQUEST_ID`.

    Parameters
    ----------
    metrics_registry : Metrics
        Records ``http_errors`` by code.
    """

    @web.middleware
    async def convert_errors(
        request: web.Request, handler: typedefs.Handler
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except errors.MarjoramusherError as error:
            return _respond(request, error, error.http_status, metrics_registry)
        except web.HTTPException as error:
            if error.status < 400:
                raise
            converted = errors.MarjoramusherError(
                _CODE_BY_STATUS.get(error.status, errors.ErrorCode.BAD_REQUEST),
                error.reason,
            )
            response = _respond(request, converted, error.status, metrics_registry)
            if "Allow" in error.headers:
                response.headers["Allow"] = error.headers["Allow"]
            return response
        except Exception as error:
            log.state_change(
                "http.internal_error",
                method=request.method,
                path=request.path,
                error=repr(error),
            )
            converted = errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                "the instance failed to handle the request",
                errors.Outcome.UNKNOWN,
            )
            return _respond(request, converted, 500, metrics_registry)

    return convert_errors


def error_response(
    error: errors.MarjoramusherError, status: int | None = None
) -> web.Response:
    """Return the error response for an exception."""
    return web.Response(
        status=status or error.http_status,
        body=codec.to_json({"error": error.body()}),
        content_type=CONTENT_TYPE,
    )


def json_response(value: object, status: int = 200, **headers: str) -> web.Response:
    """Return a response with a JSON body.

    Parameters
    ----------
    **headers : str
        Additional headers, with underscores in place of hyphens.
    """
    return web.Response(
        status=status,
        body=codec.to_json(value),
        content_type=CONTENT_TYPE,
        headers={name.replace("_", "-"): text for name, text in headers.items()},
    )


def _respond(
    request: web.Request,
    error: errors.MarjoramusherError,
    status: int,
    metrics_registry: metrics.Metrics,
) -> web.Response:
    metrics_registry.increment("http_errors", code=error.code.value)
    if request.writer.output_size > 0:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the response failed after its first byte")
    response = error_response(error, status)
    if REQUEST_ID in request:
        response.headers[REQUEST_ID_HEADER] = request[REQUEST_ID]
    return response
